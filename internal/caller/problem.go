package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pimentohinge/pimentohinge/internal/outcome"
)

// Problem is an error answer by RFC 9457, with an error member that clients of
// the usual completion interfaces read.
type Problem struct {
	// Type names the cause.
	Type string `json:"type"`
	// Title is the cause in plain words.
	Title string `json:"title"`
	// Status is the HTTP status.
	Status int `json:"status"`
	// Detail holds figures.
	Detail string `json:"detail,omitempty"`
	// RequestID names the request for pimentohinge explain.
	RequestID string `json:"requestId"`
	// Outcome is notRun, unknown or interrupted.
	Outcome outcome.Kind `json:"outcome"`
	// Error repeats the problem for clients of the usual interfaces.
	Error ProblemError `json:"error"`
}

// ProblemError is the error member of a Problem.
type ProblemError struct {
	// Message is title and detail.
	Message string `json:"message"`
	// Type is the outcome.
	Type outcome.Kind `json:"type"`
	// Code is the cause.
	Code outcome.Cause `json:"code"`
}

const problemType = "urn:pimentohinge:"

func problemOf(id string, o outcome.Outcome) Problem {
	message := o.Cause.Sentence()
	if o.Detail != "" {
		message += " " + o.Detail
	}
	return Problem{
		Type: problemType + string(o.Cause), Title: o.Cause.Sentence(), Status: o.Cause.Status(),
		Detail: o.Detail, RequestID: id, Outcome: o.Kind,
		Error: ProblemError{Message: message, Type: o.Kind, Code: o.Cause},
	}
}

func writeProblem(w http.ResponseWriter, id string, o outcome.Outcome) {
	p := problemOf(id, o)
	w.Header().Set("Content-Type", "application/problem+json")
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
