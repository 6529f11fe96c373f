package upstream

// Fault is the fault injected into one request.
type Fault int

// Faults.
const (
	// None injects no fault.
	None Fault = iota
	// InternalError runs the request and responds with status 500.
	InternalError
	// Overloaded responds with status 503 without running the request.
	Overloaded
	// DropsResponse runs the request and closes the connection without a response.
	DropsResponse
	// TruncatesBody closes the connection in the middle of the response body.
	TruncatesBody
	// SendsExtraResponse sends a response to another request after the right one.
	SendsExtraResponse
	// SendsMalformed sends bytes that are not an HTTP response.
	SendsMalformed
	// Hangs runs the request and never responds.
	Hangs
	// CloseDelimited sends a complete response without Content-Length, which ends
	// with the connection.
	CloseDelimited
	// SendsEndlessHeader sends a header line without end until the connection is closed.
	SendsEndlessHeader
	// SendsEndlessBody sends a body without end until the connection is closed.
	SendsEndlessBody
	// SendsEndlessEvent sends an event stream whose first event has no end, until the
	// connection is closed.
	SendsEndlessEvent
	// DripsEndlessEvent is SendsEndlessEvent with one byte per second.
	DripsEndlessEvent
	// StreamEndsWithConnection sends a complete stream of RawStreamEvents events that has
	// neither a length nor chunks.
	StreamEndsWithConnection
	// StreamEndsInsideEvent is StreamEndsWithConnection that ends inside its last event.
	StreamEndsInsideEvent
	// StreamEndsBeforeEvents is StreamEndsWithConnection without an event.
	StreamEndsBeforeEvents
	// RepeatsRefusal refuses the request without running it and sends the refusal once more
	// when the next request on the connection runs.
	RepeatsRefusal
	// RepeatsRefusalWithoutID is RepeatsRefusal with refusals that carry no attempt ID.
	RepeatsRefusalWithoutID
	// FailsAsBusy runs the request and responds with status 503, without saying that it has
	// not run.
	FailsAsBusy
	// HoldsLongEvent sends the start of an event of LongEventBytes and then nothing.
	HoldsLongEvent
	// StopsInHeader runs the request and closes the connection in the middle of the header
	// of its response.
	StopsInHeader
	// SendsStatus runs the request and responds with the status line of Options.StatusLine. The
	// connection stays open.
	SendsStatus
	// SendsRaw runs the request and responds with the bytes of Options.RawResponse. The connection
	// stays open.
	SendsRaw
	// ResetsEarly runs the request, sends the start of a response that has neither a length nor
	// chunks before it has read the body of the request, and resets the connection.
	ResetsEarly
	// EndsEarly is ResetsEarly with the whole response and the end of its direction of the
	// connection. It then reads the request to its end.
	EndsEarly
)

// IsEarly reports whether the response is sent before the body of the request has been read.
func (f Fault) IsEarly() bool { return f == ResetsEarly || f == EndsEarly }

// LongEventBytes is the number of bytes that HoldsLongEvent sends.
const LongEventBytes = 250_000

// RawStreamEvents is the number of events in a stream of StreamEndsWithConnection.
const RawStreamEvents = 5
