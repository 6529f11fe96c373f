package headflood_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// standinAddr is the address of a stand-in.
const standinAddr = "127.9.4.1:7100"

// TestCrowdAtStandin guards the stand-ins that operators run against heads that take them beyond the
// memory of their machine.
func TestCrowdAtStandin(t *testing.T) {
	answers := func() bool {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + standinAddr + "/v1/objects/config")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	p := start(t, io.Discard, answers, build(t), "standin", "platform", "--listen", standinAddr,
		"--memory-mb", strconv.Itoa(memoryMb), "--max-descriptors", strconv.Itoa(maxDescriptors))
	crowd := crowdPlan{addr: standinAddr, size: crowdSize, rounds: crowdRounds, write: heldServeHead}.run()
	if !eventually(answers) {
		t.Error("an ordinary request got no response")
	}
	crowd.end()
	p.checkAndKill(machine)
}
