package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
	"github.com/pimentohinge/pimentohinge/internal/problem"
)

func writeProblem(w http.ResponseWriter, id string, o outcome.Result) {
	p := problem.New(id, o)
	w.Header().Set("Content-Type", problem.ContentType)
	if !o.RetryAt.IsZero() {
		seconds := int(max(time.Second, time.Until(o.RetryAt)+time.Second-1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if o.Cause == outcome.Unauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
