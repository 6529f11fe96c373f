package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/network"
	"github.com/pimentohinge/pimentohinge/internal/standin/upstream"
)

// kind is the kind of a request.
type kind string

// Kinds of requests.
const (
	kindStream kind = "stream"
	kindUnsafe kind = "unsafe"
	kindSafe   kind = "safe"
	kindSlow   kind = "slow" // unsafe, and slow enough to last into the end of a stop
)

// record is a request and what its caller received.
type record struct {
	attempt string
	kind    kind
	vm      *vm
	sent    time.Time
	ended   time.Time
	status  int // 0 if no response began
	err     error
	// left is set when the caller closed the connection before the end.
	left bool
	// problem describes a response that no sound server could have caused.
	problem string
	rule    rule
}

// endlessTimeout is how long callers wait for a stream when servers send responses without
// end, which the VMs cannot tell from slow ones.
const endlessTimeout = 10 * time.Second

// outcomeServed is the outcome of a request with a complete response.
const outcomeServed = "served"

// outcome names what came of the request.
func (rec record) outcome() string {
	switch {
	case rec.left:
		return "left"
	case rec.status == 0:
		return "noResponse"
	case rec.err != nil:
		return "cut"
	case rec.status == http.StatusOK:
		return outcomeServed
	}
	return fmt.Sprint(rec.status)
}

// caller sends requests one after the other. It keeps its connection open for as long as
// the VM does.
type caller struct {
	fleet  *fleet
	name   string
	random *rand.Rand
	client *http.Client
	vm     *vm
	// stickFor is the number of requests after which the caller opens a new connection.
	stickFor int
}

func (f *fleet) newCaller(i int, random *rand.Rand) *caller {
	return &caller{fleet: f, name: fmt.Sprintf("c%d", i), random: random}
}

// run sends requests until the context ends. A request in progress is finished.
func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if c.client == nil || c.stickFor <= 0 {
			c.connect()
		}
		c.stickFor--
		rec := c.send(fmt.Sprintf("%s-%d", c.name, i))
		c.fleet.addRecord(rec)
		if rec.err != nil || rec.left || rec.status != http.StatusOK && c.random.IntN(2) == 0 {
			c.disconnect()
		}
		time.Sleep(time.Duration(c.random.IntN(100)) * time.Millisecond)
	}
	c.disconnect()
}

func (c *caller) disconnect() {
	if c.client != nil {
		c.client.CloseIdleConnections()
	}
	c.client = nil
}

// connect chooses a VM in rotation, or any if there is none.
func (c *caller) connect() {
	c.disconnect()
	first := c.random.IntN(len(c.fleet.vms))
	c.vm = c.fleet.vms[first]
	for i := range c.fleet.vms {
		if v := c.fleet.vms[(first+i)%len(c.fleet.vms)]; v.inRotation() {
			c.vm = v
			break
		}
	}
	c.client = network.Client(network.TCP{})
	c.stickFor = 5 + c.random.IntN(60)
}

func (c *caller) send(attempt string) (rec record) {
	rec = record{attempt: attempt, vm: c.vm}
	path, timeout, events := safePath, plainTimeoutMs*time.Millisecond, 0
	switch n := c.random.IntN(10); {
	case n < 4:
		rec.kind, path, timeout, events = kindStream, streamPath, streamTimeoutMs*time.Millisecond, 3+c.random.IntN(250)
		if c.fleet.opts.Profile == profileEndless {
			timeout = endlessTimeout
		}
	case n < 8:
		rec.kind, path = kindUnsafe, unsafePath
	case n < 9:
		rec.kind = kindSafe
	default:
		rec.kind, path, timeout = kindSlow, slowPath, slowTimeoutMs*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	if c.random.IntN(25) == 0 {
		leaves := time.AfterFunc(time.Duration(c.random.IntN(2000))*time.Millisecond, cancel)
		defer func() { rec.left = !leaves.Stop() && rec.err != nil }()
	}
	var body io.Reader
	if rec.kind == kindUnsafe && c.fleet.opts.Profile == profileNetwork && c.random.IntN(pausingBodyOneIn) == 0 {
		body = &pausingBody{left: pausingBodyBytes, pauseAt: c.random.IntN(pausingBodyBytes), pause: time.Duration(c.random.IntN(4000)) * time.Millisecond}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.vm.callers+path, body)
	if err != nil {
		rec.err = err
		return rec
	}
	if body != nil {
		req.ContentLength = pausingBodyBytes
	}
	req.Host = hostName
	described := upstream.Request{Attempt: attempt, Key: apiKey, Timeout: timeout}
	if events > 0 {
		described.PromptTokens, described.MaxTokens = 500+c.random.IntN(3000), tokensPerEvent*events
	}
	req.Header = described.Headers()
	rec.sent = time.Now()
	c.exchange(req, &rec, events)
	rec.ended = time.Now()
	return rec
}

const (
	// pausingBodyOneIn is the part of the unsafe requests whose bodies arrive with a pause.
	pausingBodyOneIn = 10
	pausingBodyBytes = 2000
)

// pausingBody is a body that pauses once.
type pausingBody struct {
	left, pauseAt int
	pause         time.Duration
}

// Read returns the bytes up to the pause, or those after it.
func (b *pausingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := b.left
	switch {
	case b.left > b.pauseAt:
		n = b.left - b.pauseAt
	case b.left == b.pauseAt:
		time.Sleep(b.pause)
	}
	n = min(n, len(p))
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// exchange sends a request and reads its response.
func (c *caller) exchange(req *http.Request, rec *record, events int) {
	resp, err := c.client.Do(req)
	if err != nil {
		rec.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	rec.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, rec.err = io.Copy(io.Discard, resp.Body)
		return
	}
	if !upstream.IsStamped(resp.Header) {
		rec.rule, rec.problem = ruleMixed, "a success without the stamp of a server"
	}
	if rec.kind == kindStream {
		rec.readEvents(resp.Body, events)
		return
	}
	body, err := io.ReadAll(resp.Body)
	rec.err = err
	if want := upstream.ResponseBody(rec.attempt); err == nil && string(body) != want {
		rec.rule, rec.problem = ruleMixed, fmt.Sprintf("received %q instead of %q", body, want)
	}
}

// readEvents reads a stream and checks that its events are whole and in order.
func (rec *record) readEvents(body io.Reader, events int) {
	reader := bufio.NewReader(body)
	next, number := 1, 0
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				rec.err = err
			} else if next != events+1 {
				rec.rule, rec.problem = ruleOrder, fmt.Sprintf("looks complete with %d of %d events", next-1, events)
			}
			return
		}
		line = strings.TrimSuffix(line, "\n")
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			_, _ = fmt.Sscan(id, &number)
			if number != next {
				rec.rule, rec.problem = ruleOrder, fmt.Sprintf("event %s follows event %d", id, next-1)
				return
			}
			next++
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && data != upstream.EventData(rec.attempt, number) {
			rec.rule, rec.problem = ruleMixed, fmt.Sprintf("event %d holds %q", number, data)
			return
		}
	}
}

func (f *fleet) addRecord(rec record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, rec)
}
