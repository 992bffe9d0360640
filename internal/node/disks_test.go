package node

import (
	"net/http"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
	disks "cyclamenhub.org/recorder/standin"
)

// TestDocumentsAreStoredAfterDisksWereFullInTurn guards against documents being refused
// for good after the disks of the keepers were full one after another. Each disk refuses
// openings too before it has room again, and an operator's call to a keeper whose disk
// is full gets an answer.
func TestDocumentsAreStoredAfterDisksWereFullInTurn(t *testing.T) {
	keepers := []string{keeperA, keeperB, keeperC}
	s := newSystem(t)
	s.disks = make(map[string]*disks.Disk)
	for _, ip := range keepers {
		s.disks[ip] = disks.NewDisk()
	}
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	revision := identifier.Revision(1)
	for i, ip := range keepers {
		other, disk := keepers[(i+1)%len(keepers)], s.disks[ip]
		folder := filepath.Join(s.settings(ip, true).DataFolder, "group-0")
		disk.Fill(disks.Everything, 0)
		refused := disk.Refused(folder)
		s.await("the full disk refuses a write and an opening", func() bool {
			revision++
			s.put(other, standin.Document(revision, `["k1"]`))
			return disk.Refused(folder) >= refused+2
		})
		if status, _ := s.request(http.MethodPut, ip, standin.OperatorPort, standin.DocumentPath, standin.Document(revision+1, `["k1"]`), nil); status == 0 {
			t.Errorf("a document sent to %s, whose disk is full, gets no answer", ip)
		}
		disk.Free()
		revision += 2
		s.put(ip, standin.Document(revision, `["k1"]`))
	}
	newest := standin.Document(revision, `["k1"]`)
	for _, ip := range keepers {
		if diff := cmp.Diff(decoded(t, newest), decoded(t, s.read(ip))); diff != "" {
			t.Errorf("document read from %s (-want +got):\n%s", ip, diff)
		}
	}
}
