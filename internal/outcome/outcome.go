// Package outcome defines how a request can end and why. The Kind of a Result says
// what the caller got and whether the request may have run, its Cause says why. Both
// lists are closed: responses to callers, log lines and timelines use only these
// values.
package outcome

import (
	"net/http"
	"strings"
	"time"
)

// Kind is the way in which a request ended.
type Kind string

const (
	// Finished means that the whole response was delivered, once and in order.
	Finished Kind = "finished"
	// NotRun means that the request certainly did not run.
	NotRun Kind = "notRun"
	// Unknown means that it is not known whether the request ran.
	Unknown Kind = "unknown"
	// Interrupted means that the request ran and only a part of its output, or nothing,
	// was delivered. A part is from one generation.
	Interrupted Kind = "interrupted"
)

// Cause is the reason why a request ended as it did, or why it was late.
type Cause string

// The closed list of causes. The description and the HTTP status of each are in
// causeInfos.
const (
	None                Cause = ""
	BadRequest          Cause = "badRequest"
	Unauthorized        Cause = "unauthorized"
	Forbidden           Cause = "forbidden"
	NotFound            Cause = "notFound"
	TooLarge            Cause = "tooLarge"
	RateLimit           Cause = "rateLimit"
	ConcurrencyLimit    Cause = "concurrencyLimit"
	QueuedBehind        Cause = "queuedBehind"
	MemoryFull          Cause = "memoryFull"
	SlotsFull           Cause = "slotsFull"
	NoReplica           Cause = "noReplica"
	EngineLost          Cause = "engineLost"
	EngineReclaimed     Cause = "engineReclaimed"
	EngineRefused       Cause = "engineRefused"
	Preempted           Cause = "preempted"
	StalledLink         Cause = "stalledLink"
	RegionCut           Cause = "regionCut"
	AdmitterLost        Cause = "admitterLost"
	RetryBudget         Cause = "retryBudget"
	DeadlinePassed      Cause = "deadlinePassed"
	CallerGone          Cause = "callerGone"
	PlatformUnavailable Cause = "platformOut"
	ClaimTaken          Cause = "claimTaken"
	HolderLost          Cause = "holderLost"
	KeyReused           Cause = "keyReused"
	ResponseNotStored   Cause = "responseNotStored"
	TicketSpent         Cause = "ticketSpent"
	TicketExpired       Cause = "ticketExpired"
	IssuerGone          Cause = "issuerGone"
	ServiceLost         Cause = "serviceLost"
	VMStopping          Cause = "vmStopping"
	VMLost              Cause = "vmLost"
	WeightStoreRate     Cause = "weightStoreRate"
	NotReady            Cause = "notReady"
	SlowBody            Cause = "slowBody"
	BrokenResponse      Cause = "brokenAnswer"
	VMFull              Cause = "vmFull"
	ResponseFull        Cause = "responseFull"
	HeadsFull           Cause = "headsFull"
	NoHome              Cause = "noHome"
	Evacuated           Cause = "evacuated"
	ColdServers         Cause = "coldServers"
	PromptQuarantined   Cause = "promptQuarantined"
)

// Result describes how a request ended.
type Result struct {
	// Kind is how the request ended.
	Kind Kind
	// Cause is None only when Kind is Finished.
	Cause Cause
	// Detail holds figures that explain the cause; it may be empty.
	Detail string
	// RetryAt is the earliest time at which a retry may succeed; zero when no retry
	// is advised.
	RetryAt time.Time
	// Tokens is the number of tokens delivered to the caller.
	Tokens int
}

// maxDetailBytes is the length to which the details of refusals are cut. They may hold text of
// callers, and are kept.
const maxDetailBytes = 512

// Refuse returns the result of a request that was refused and certainly did not
// run. A long detail is cut.
func Refuse(c Cause, detail string) Result {
	if len(detail) > maxDetailBytes {
		detail = strings.ToValidUTF8(strings.Clone(detail[:maxDetailBytes]), "") + "..."
	}
	return Result{Kind: NotRun, Cause: c, Detail: detail}
}

// Done returns the result of a request whose whole response was delivered.
func Done(tokens int) Result {
	return Result{Kind: Finished, Tokens: tokens}
}

// causeInfo is the HTTP status and the description that callers receive.
type causeInfo struct {
	status      int
	description string
}

var causeInfos = map[Cause]causeInfo{
	BadRequest:          {http.StatusBadRequest, "The request could not be understood."},
	Unauthorized:        {http.StatusUnauthorized, "The key is missing or is not one of a known workspace."},
	Forbidden:           {http.StatusForbidden, "The workspace may not use this service."},
	NotFound:            {http.StatusNotFound, "No such model, service or path is in the configuration."},
	TooLarge:            {http.StatusRequestEntityTooLarge, "The body is larger than this VM accepts."},
	RateLimit:           {http.StatusTooManyRequests, "The workspace sent more requests a second than its limit allows."},
	ConcurrencyLimit:    {http.StatusTooManyRequests, "The workspace had as many open requests as its limit allows."},
	QueuedBehind:        {http.StatusServiceUnavailable, "The request waited behind earlier work until its time was up."},
	MemoryFull:          {http.StatusServiceUnavailable, "The engines' memory was full."},
	SlotsFull:           {http.StatusServiceUnavailable, "The engines' batches were full."},
	NoReplica:           {http.StatusServiceUnavailable, "No reachable backend serves the model or service."},
	EngineLost:          {http.StatusBadGateway, "The engine died or could not be reached."},
	EngineReclaimed:     {http.StatusBadGateway, "The engine was reclaimed at short notice."},
	EngineRefused:       {http.StatusBadGateway, "The engine refused the work."},
	Preempted:           {http.StatusServiceUnavailable, "The engine set the answer aside to free memory."},
	StalledLink:         {http.StatusGatewayTimeout, "The link to the engine carried no data until the token deadline."},
	RegionCut:           {http.StatusServiceUnavailable, "The region that could have served the request was cut off."},
	AdmitterLost:        {http.StatusServiceUnavailable, "The VM that admits work to the engine could not be reached."},
	RetryBudget:         {http.StatusServiceUnavailable, "Too large a share of traffic consisted of retries already."},
	DeadlinePassed:      {http.StatusGatewayTimeout, "The deadline of the request passed."},
	CallerGone:          {499, "The caller closed the connection."},
	PlatformUnavailable: {http.StatusServiceUnavailable, "The platform's object service did not answer, so the call could not be claimed."},
	ClaimTaken:          {http.StatusConflict, "Another attempt with the same key is running."},
	HolderLost:          {http.StatusConflict, "The attempt that claimed the key ended without a recorded answer and may have run."},
	KeyReused:           {http.StatusUnprocessableEntity, "The key was used before with a different request."},
	ResponseNotStored:   {http.StatusConflict, "The call ran before, and its answer was too long to be stored."},
	TicketExpired:       {http.StatusConflict, "The ticket expired so long ago that the VM no longer knows whether it was spent."},
	TicketSpent:         {http.StatusConflict, "The ticket was spent before."},
	IssuerGone:          {http.StatusConflict, "The VM that issued the ticket is gone, so the call may have run."},
	ServiceLost:         {http.StatusBadGateway, "The service died or could not be reached."},
	VMStopping:          {http.StatusServiceUnavailable, "The entry VM was stopping."},
	VMLost:              {http.StatusBadGateway, "The entry VM died."},
	NotReady:            {http.StatusServiceUnavailable, "The entry VM had no configuration yet."},
	SlowBody:            {http.StatusRequestTimeout, "The body of the request did not arrive in time."},
	VMFull:              {http.StatusServiceUnavailable, "The entry VM had no memory left for the body of the request."},
	ResponseFull:        {http.StatusBadGateway, "The entry VM had no memory left for a response that is not streamed."},
	HeadsFull:           {http.StatusServiceUnavailable, "The entry VM had no memory left for the head of the request."},
	NoHome:              {http.StatusServiceUnavailable, "No backend in the home regions of the route and the workspace could serve the request."},
	Evacuated:           {http.StatusServiceUnavailable, "The data centres of all backends that could serve the request are evacuated."},
	ColdServers:         {http.StatusServiceUnavailable, "The backends that could serve the request had just started and got as much as they bear."},
	BrokenResponse:      {http.StatusBadGateway, "The backend server sent what is no answer to the request, or broke it off."},
	PromptQuarantined:   {http.StatusServiceUnavailable, "Several engines crashed on a segment of the prompt, so requests with it are not run for now."},
	WeightStoreRate:     {http.StatusServiceUnavailable, "The model's weights were still loading at the weight store's rate."},
}

// Causes returns every cause that has a description, in no particular order.
func Causes() []Cause {
	causes := make([]Cause, 0, len(causeInfos))
	for cause := range causeInfos {
		causes = append(causes, cause)
	}
	return causes
}

// Description explains the cause to readers who do not know the system. It is
// empty for None.
func (c Cause) Description() string { return causeInfos[c].description }

// Status returns the HTTP status code for the cause; 200 for None.
func (c Cause) Status() int {
	if info, ok := causeInfos[c]; ok {
		return info.status
	}
	return http.StatusOK
}
