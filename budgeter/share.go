package budgeter

// Bytes is an amount of memory.
type Bytes = int64

// SmallBytes is the size up to which a body is small.
const SmallBytes Bytes = 32 << 10

const (
	// assumedMemory stands in for a host's memory that is not known.
	assumedMemory Bytes = 1 << 30
	// requestEighths and largeEighths are the eighths of the memory for the bodies of
	// requests in all, and for those beyond SmallBytes among them.
	requestEighths = 3
	largeEighths   = 2
	// answerDivisor gives the part of the memory for the bodies of answers.
	answerDivisor = 6
	// documentDivisor gives the part of a keeper's memory for the documents that operators
	// send. One takes up several times its size while it is checked and stored.
	documentDivisor = 8
	// maxAnswers bounds the part for answers on a large host.
	maxAnswers Bytes = 48 << 20
)

// Shares are the parts of a host's memory in which it holds bodies. The rest, over four
// tenths, is for connections, headers, garbage and what the host knows of the fleet.
type Shares struct {
	// Requests is for the bodies of requests, and LargeRequests the part of it for
	// those that are not small.
	Requests, LargeRequests Bytes
	// Answers is for the bodies of answers that are not streams.
	Answers Bytes
	// Documents is for what operators send to a keeper, which holds nothing of the others.
	Documents Bytes
}

// Divide returns the shares of a host with the given memory, 0 if that is not known.
func Divide(memory Bytes) Shares {
	s := Shares{Answers: maxAnswers}
	if memory > 0 {
		s.Answers = min(maxAnswers, memory/answerDivisor)
	} else {
		memory = assumedMemory
	}
	s.Requests, s.LargeRequests = memory/8*requestEighths, memory/8*largeEighths
	s.Documents = memory / documentDivisor
	return s
}
