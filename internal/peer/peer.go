// Package peer connects the entry VMs of a fleet. Each pair shares a WebSocket
// that carries CBOR frames. In the handshake both sides prove that they hold the
// fleet's shared key.
package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/pimentohinge/pimentohinge/internal/headlimit"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	// ProtocolVersion is the version number of the peer protocol.
	ProtocolVersion = 1
	// Path is the HTTP path of the WebSocket endpoint.
	Path = "/peer"
	// maxFrameBytes is large enough for a snapshot of the configuration, maxHelloBytes for the frames
	// of the handshake.
	maxFrameBytes = 4 << 20
	maxHelloBytes = 4 << 10
	// maxQueuedFrames is the capacity of the send queue of one link.
	maxQueuedFrames  = 256
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	nonceBytes       = 16
)

var (
	decoder = mustDecoder()
	encoder = mustEncoder()
)

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 12,
		// Callers and other writers choose some of the strings, and a frame that cannot be
		// decoded ends the link.
		UTF8:             cbor.UTF8DecodeInvalid,
		MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic("peer: decoder options: " + err.Error())
	}
	return m
}

func mustEncoder() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic("peer: encoder options: " + err.Error())
	}
	return m
}

// Encode encodes a frame as CBOR.
func Encode(frame wire.Frame) ([]byte, error) {
	b, err := encoder.Marshal(frame)
	return b, eris.Wrap(err, "encode frame")
}

// Decode decodes a CBOR frame from another VM.
func Decode(b []byte) (wire.Frame, error) {
	var frame wire.Frame
	err := decoder.Unmarshal(b, &frame)
	return frame, eris.Wrap(err, "decode frame")
}

// Options configures the links of one VM.
type Options struct {
	// Self is this VM.
	Self wire.VM
	// Incarnation is higher than at every earlier start of this VM.
	Incarnation int
	// SharedKey is the secret with which the VMs of a fleet authenticate each other.
	SharedKey string
	// Client opens connections to other VMs. Scheme is ws or wss.
	Client *http.Client
	Scheme string
	// OnConnect is called with the authenticated VM of each new link.
	OnConnect func(vm wire.VM)
	// OnFrame is called for each frame received, in order for each sender. It must
	// not block for long.
	OnFrame func(from wire.VM, frame wire.Frame)
	// OnUndelivered is called for each frame that could not be sent.
	OnUndelivered func(vm string, frame wire.Frame)
}

// Links manages the links of one VM. It is safe for concurrent use.
type Links struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc

	mu            sync.Mutex
	byVM          map[string]*peerLink
	bytesSent     uint64
	bytesReceived uint64
	wg            sync.WaitGroup
}

type peerLink struct {
	vm    wire.VM
	queue chan wire.Frame
}

// New returns Links without connections. The caller must call Close.
func New(opts Options) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{opts: opts, ctx: ctx, cancel: cancel, byVM: map[string]*peerLink{}}
}

// PayloadBytes returns the payload bytes sent and received so far.
func (l *Links) PayloadBytes() (sent, received uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesSent, l.bytesReceived
}

// Close closes every link and waits for its goroutines.
func (l *Links) Close() {
	l.cancel()
	l.wg.Wait()
}

// Send queues a frame for a VM and dials the VM when there is no link. It never
// blocks.
func (l *Links) Send(to wire.VM, frame wire.Frame) {
	if !l.enqueue(to, frame) {
		l.opts.OnUndelivered(to.Name, frame)
	}
}

// enqueue reports false when the queue of the link is full. After Close it
// discards frames for which there is no link. It holds the lock while it queues:
// remove drains the queue of a link after it has deleted the link from the map,
// and a frame queued after that would be lost without a report.
func (l *Links) enqueue(to wire.VM, frame wire.Frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.byVM[to.Name]
	if link == nil {
		if l.ctx.Err() != nil {
			return true
		}
		link = &peerLink{vm: to, queue: make(chan wire.Frame, maxQueuedFrames)}
		l.byVM[to.Name] = link
		l.wg.Add(1)
		go l.dial(link)
	}
	select {
	case link.queue <- frame:
		return true
	default:
		return false
	}
}

// DialAddress dials a VM of which only the address is known.
func (l *Links) DialAddress(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	l.wg.Add(1)
	go l.dial(&peerLink{vm: wire.VM{PeerAddress: addr}, queue: make(chan wire.Frame, maxQueuedFrames)})
}

func (l *Links) dial(link *peerLink) {
	defer l.wg.Done()
	conn, err := l.connect(&link.vm)
	if err != nil {
		l.remove(link)
		return
	}
	l.run(link, conn)
}

// connect dials a VM and performs the handshake. It fills in vm when only its
// address is known.
func (l *Links) connect(vm *wire.VM) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, l.opts.Scheme+"://"+vm.PeerAddress+Path, &websocket.DialOptions{
		HTTPClient: l.opts.Client, CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	conn.SetReadLimit(maxHelloBytes)
	if err := l.clientHandshake(ctx, conn, vm); err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	conn.SetReadLimit(maxFrameBytes)
	return conn, nil
}

// clientHandshake is the dialling side of the handshake.
func (l *Links) clientHandshake(ctx context.Context, conn *websocket.Conn, vm *wire.VM) error {
	nonce := newNonce()
	if err := l.writeHello(ctx, conn, nonce, ""); err != nil {
		return err
	}
	hello, err := l.readHello(ctx, conn)
	if err != nil {
		return err
	}
	nameMatches := vm.Name == "" || vm.Name == hello.Vm.Name
	if !nameMatches || !l.verifyProof(hello, roleServer, nonce) {
		return eris.New("peer did not prove that it is " + vm.Name)
	}
	if vm.Name == "" {
		*vm = hello.Vm
	}
	return l.writeHello(ctx, conn, nonce, l.computeProof(roleClient, hello.Nonce, l.opts.Self.Name))
}

// serverHandshake is the accepting side of the handshake.
func (l *Links) serverHandshake(ctx context.Context, conn *websocket.Conn) (wire.VM, error) {
	hello, err := l.readHello(ctx, conn)
	if err != nil {
		return wire.VM{}, err
	}
	nonce := newNonce()
	if err := l.writeHello(ctx, conn, nonce, l.computeProof(roleServer, hello.Nonce, l.opts.Self.Name)); err != nil {
		return wire.VM{}, err
	}
	confirmation, err := l.readHello(ctx, conn)
	if err != nil {
		return wire.VM{}, err
	}
	if confirmation.Vm != hello.Vm || !l.verifyProof(confirmation, roleClient, nonce) {
		return wire.VM{}, eris.New("peer did not prove that it is " + hello.Vm.Name)
	}
	return hello.Vm, nil
}

func newNonce() string {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Roles in the handshake. A proof covers the sender's role, so that the proof of
// an accepting VM cannot be replayed as that of a dialling one.
const (
	roleClient = "dial"
	roleServer = "accept"
)

// computeProof returns the HMAC of the sender's role and name and the receiver's
// nonce.
func (l *Links) computeProof(role, nonce, name string) string {
	mac := hmac.New(sha256.New, []byte(l.opts.SharedKey))
	_, _ = mac.Write([]byte("peer\x00" + role + "\x00" + nonce + "\x00" + name))
	return hex.EncodeToString(mac.Sum(nil))
}

func (l *Links) verifyProof(hello wire.Hello, role, nonce string) bool {
	return hmac.Equal([]byte(hello.Proof), []byte(l.computeProof(role, nonce, hello.Vm.Name)))
}

func (l *Links) writeHello(ctx context.Context, conn *websocket.Conn, nonce, proof string) error {
	b, err := Encode(wire.Frame{Hello: &wire.Hello{
		Protocol: ProtocolVersion, Vm: l.opts.Self, Incarnation: l.opts.Incarnation, Nonce: nonce, Proof: proof,
	}})
	if err != nil {
		return err
	}
	return eris.Wrap(conn.Write(ctx, websocket.MessageBinary, b), "write hello")
}

func (l *Links) readHello(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
	_, b, err := conn.Read(ctx)
	if err != nil {
		return wire.Hello{}, eris.Wrap(err, "read hello")
	}
	frame, err := Decode(b)
	if err != nil {
		return wire.Hello{}, err
	}
	if frame.Hello == nil || frame.Hello.Protocol != ProtocolVersion {
		return wire.Hello{}, eris.New("peer sent no hello or uses another protocol version")
	}
	return *frame.Hello, nil
}

// ServeHTTP accepts a link from another VM and serves it until it ends.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	conn.SetReadLimit(maxHelloBytes)
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	vm, err := l.serverHandshake(ctx, conn)
	cancel()
	if err != nil {
		_ = conn.Close(websocket.StatusPolicyViolation, "handshake failed")
		return
	}
	conn.SetReadLimit(maxFrameBytes)
	headlimit.FromContext(r.Context()).Established()
	link := &peerLink{vm: vm, queue: make(chan wire.Frame, maxQueuedFrames)}
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		_ = conn.CloseNow()
		return
	}
	l.wg.Add(1)
	l.mu.Unlock()
	defer l.wg.Done()
	l.run(link, conn)
}

// run registers a link and transfers frames until it ends.
func (l *Links) run(link *peerLink, conn *websocket.Conn) {
	defer l.remove(link)
	l.mu.Lock()
	if l.byVM[link.vm.Name] == nil {
		l.byVM[link.vm.Name] = link
	}
	l.mu.Unlock()
	l.opts.OnConnect(link.vm)
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		defer cancel()
		l.write(ctx, link, conn)
	}()
	l.read(ctx, link, conn)
	_ = conn.CloseNow()
}

func (l *Links) read(ctx context.Context, link *peerLink, conn *websocket.Conn) {
	for {
		_, b, err := conn.Read(ctx)
		if err != nil {
			return
		}
		frame, err := Decode(b)
		if err != nil {
			return
		}
		l.mu.Lock()
		l.bytesReceived += uint64(len(b))
		l.mu.Unlock()
		l.opts.OnFrame(link.vm, frame)
	}
}

func (l *Links) write(ctx context.Context, link *peerLink, conn *websocket.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-link.queue:
			if !l.writeFrame(ctx, conn, frame) {
				l.opts.OnUndelivered(link.vm.Name, frame)
				return
			}
		}
	}
}

func (l *Links) writeFrame(ctx context.Context, conn *websocket.Conn, frame wire.Frame) bool {
	b, err := Encode(frame)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	l.mu.Lock()
	l.bytesSent += uint64(len(b))
	l.mu.Unlock()
	return conn.Write(ctx, websocket.MessageBinary, b) == nil
}

// remove deletes a link and reports the frames left in its queue as undelivered.
func (l *Links) remove(link *peerLink) {
	l.mu.Lock()
	if l.byVM[link.vm.Name] == link {
		delete(l.byVM, link.vm.Name)
	}
	l.mu.Unlock()
	for {
		select {
		case frame := <-link.queue:
			l.opts.OnUndelivered(link.vm.Name, frame)
		default:
			return
		}
	}
}
