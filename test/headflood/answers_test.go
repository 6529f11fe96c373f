package headflood_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/standin/enginesim"
	"github.com/pimentohinge/pimentohinge/internal/standin/llm"
	"github.com/pimentohinge/pimentohinge/pkg/wire"
)

const (
	engineAddr = "127.9.3.4:7102"
	model      = "flood-model"
	// answerTokens and tokenBytes are the length of the answer of the engine to each request.
	answerTokens = 300
	tokenBytes   = 1 << 10
	// stepTime is the time between two tokens of an answer.
	stepTime = 5 * time.Millisecond
)

// startEngine starts an engine that generates long answers fast, for any number of requests at once.
func startEngine(t *testing.T) {
	t.Helper()
	text := strings.Repeat("x", tokenBytes)
	engine := llm.New(llm.Options{
		Name: "engine-1", Models: []string{model},
		Model:  enginesim.Options{CapacityBlocks: 1 << 20, BlockTokens: 16, Slots: 2 * crowdSize, PrefillTokens: 1 << 20, StepBase: stepTime},
		Length: func(wire.GenerateRequest) int { return answerTokens },
		Text:   func(string, int) string { return text },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go engine.Run(ctx)
	listenAndServe(t, engineAddr, engine.Handler())
}

// wholeAnswer asks for an answer in one piece.
func wholeAnswer(conn net.Conn, _, _ int) error { return askForAnswer(conn, false) }

// unreadStream asks for a streamed answer with a small buffer to receive it.
func unreadStream(conn net.Conn, _, _ int) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallBuffer)
	}
	return askForAnswer(conn, true)
}

func askForAnswer(conn net.Conn, stream bool) error {
	body := fmt.Sprintf(`{"model":"writer","prompt":"x","max_tokens":%d,"stream":%v}`, answerTokens, stream)
	_, err := io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer "+workspaceKey+
		"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	return err
}

// TestAnswersInOnePiece lets a crowd ask for long answers that are not streamed, which a process has to
// keep until they are complete.
func TestAnswersInOnePiece(t *testing.T) {
	startEngine(t)
	v := startServe(t, build(t), nil, manyDescriptors)
	crowd := crowdPlan{addr: serveCallers, size: crowdSize, rounds: 1, write: wholeAnswer}.run()
	crowd.members.Wait()
	v.check()
	statuses := crowd.end()
	t.Logf("statuses %v", statuses)
	v.checkAndKill(limits{memoryMb, manyDescriptors})
}

// TestStreamsOfServeThatAreNotRead lets a crowd ask for long streams that it does not read, until the engine
// has generated them.
func TestStreamsOfServeThatAreNotRead(t *testing.T) {
	startEngine(t)
	v := startServe(t, build(t), nil, manyDescriptors)
	crowd := crowdPlan{addr: serveCallers, size: crowdSize, rounds: 1, unread: true, write: unreadStream}.run()
	time.Sleep(answerTokens * stepTime)
	v.check()
	crowd.end()
	v.checkAndKill(limits{memoryMb, manyDescriptors})
}
