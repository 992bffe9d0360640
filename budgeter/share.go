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
	// maxAnswers bounds that part on a large host.
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
}

// Divide returns the shares of a host with the given memory, 0 if that is not known.
func Divide(memory Bytes) Shares {
	if memory <= 0 {
		return Shares{Requests: assumedMemory / 8 * requestEighths, LargeRequests: assumedMemory / 8 * largeEighths, Answers: maxAnswers}
	}
	return Shares{
		Requests: memory / 8 * requestEighths, LargeRequests: memory / 8 * largeEighths,
		Answers: min(maxAnswers, memory/answerDivisor),
	}
}
