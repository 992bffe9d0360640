//go:build crowd

package crowder

import (
	"fmt"
	"net/http"
	"testing"

	"cyclamenhub.org/platform/standin"
)

const (
	// documentBytes is the size of a document that operators may send.
	documentBytes = 4 << 20
	// operatorCrowd is the number of operators' clients; their documents together have
	// twice the memory of the machine.
	operatorCrowd = 2 * memoryMB << 20 / documentBytes
	// peerPort is the offset of the port for the system's own processes.
	peerPort = 0
)

// checkHeads checks a crowd whose heads have no end, at a port of a process.
func (s *system) checkHeads(p *process, port int) {
	s.t.Helper()
	c := newCrowd(s.t, headCrowd, p.address(port))
	c.writeHeads("/", nil)
	c.writeWithoutEnd(headerLines(1<<20), endlessBytes)
	s.checkCrowd(c, endlessBytes)
	s.await("the keeper does not answer with the document", s.readDocument)
}

// readDocument reads the document from the keeper.
func (s *system) readDocument() error {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.keeper.address(standin.OperatorPort)+standin.DocumentPath, nil)
	if err != nil {
		return err
	}
	status, _, answer, err := send(req)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, answer)
	}
	return err
}

// TestDocumentsFillMemory guards against a keeper that holds all documents which come at
// once and lack their last byte.
func TestDocumentsFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, operatorCrowd, s.keeper.address(standin.OperatorPort))
	line := fmt.Appendf(nil, "PUT %s HTTP/1.1\r\nHost: a\r\n", standin.DocumentPath)
	c.write(append(line, sized(documentBytes)...))
	c.writeInPieces(make([]byte, documentBytes-1))
	s.checkCrowd(c, documentBytes)
	s.await("the keeper does not answer with the document", s.readDocument)
}

// TestBodiesAtPeersPortFillMemory guards against an entry host that holds all bodies
// which come at once at the port for other entry hosts.
func TestBodiesAtPeersPortFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, bodyCrowd, s.entry.address(peerPort))
	c.writeHeads("/look/1", sized(bodyBytes))
	c.writeInPieces(make([]byte, bodyBytes-1))
	s.checkCrowd(c, bodyBytes)
}

// TestHeadsAtOperatorsPortFillMemory guards against heads without end at a keeper.
func TestHeadsAtOperatorsPortFillMemory(t *testing.T) {
	s := newSystem(t)
	s.checkHeads(s.keeper, standin.OperatorPort)
}

// TestHeadsAtKeepersMetricsPortFillMemory guards against the same where it serves metrics.
func TestHeadsAtKeepersMetricsPortFillMemory(t *testing.T) {
	s := newSystem(t)
	s.checkHeads(s.keeper, standin.MetricsPort)
}

// TestHeadsAtKeepersPeersPortFillMemory guards against the same where it serves the other
// processes.
func TestHeadsAtKeepersPeersPortFillMemory(t *testing.T) {
	s := newSystem(t)
	s.checkHeads(s.keeper, peerPort)
}

// TestHeadsAtPeersPortFillMemory guards against heads without end at the port for other
// entry hosts.
func TestHeadsAtPeersPortFillMemory(t *testing.T) {
	s := newSystem(t)
	s.checkHeads(s.entry, peerPort)
}

// TestHeadsAtReadinessPortFillMemory guards against the same where probes come.
func TestHeadsAtReadinessPortFillMemory(t *testing.T) {
	s := newSystem(t)
	s.checkHeads(s.entry, standin.ReadinessPort)
}

// TestHeadsAtMetricsPortFillMemory guards against the same where metrics are served.
func TestHeadsAtMetricsPortFillMemory(t *testing.T) {
	s := newSystem(t)
	s.checkHeads(s.entry, standin.MetricsPort)
}

// TestSilentConnectionsAtKeepersPeersPortUseUpDescriptors guards against a keeper that keeps
// all connections on which nothing comes where it serves the other processes.
func TestSilentConnectionsAtKeepersPeersPortUseUpDescriptors(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, connectionCrowd, s.keeper.address(peerPort))
	s.checkCrowd(c, 0)
}
