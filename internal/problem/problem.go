// Package problem builds the bodies of error responses to callers.
package problem

import "github.com/pimentohinge/pimentohinge/internal/outcome"

// ContentType is the media type of a Problem.
const ContentType = "application/problem+json"

// Problem is the body of an error response as in RFC 9457, extended by the error
// member that clients of the common LLM completion APIs expect.
type Problem struct {
	// Type is a URN that names the cause.
	Type string `json:"type"`
	// Title describes the cause.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail holds the figures of this occurrence.
	Detail string `json:"detail,omitempty"`
	// RequestID identifies the request, for example for pimentohinge explain.
	RequestID string `json:"requestId"`
	// Outcome is notRun, unknown or interrupted.
	Outcome outcome.Kind `json:"outcome"`
	// Error repeats the problem for clients of the common LLM completion APIs.
	Error Error `json:"error"`
}

// Error is the error member of a Problem.
type Error struct {
	// Message consists of title and detail.
	Message string `json:"message"`
	// Type is the Outcome of the Problem.
	Type outcome.Kind `json:"type"`
	// Code is the cause.
	Code outcome.Cause `json:"code"`
}

const typePrefix = "urn:pimentohinge:"

// New returns the problem for a request with the given ID that ended with o. Its
// status is that of the cause.
func New(id string, o outcome.Result) Problem {
	message := o.Cause.Description()
	if o.Detail != "" {
		message += " " + o.Detail
	}
	return Problem{
		Type: typePrefix + string(o.Cause), Title: o.Cause.Description(), Status: o.Cause.Status(),
		Detail: o.Detail, RequestID: id, Outcome: o.Kind,
		Error: Error{Message: message, Type: o.Kind, Code: o.Cause},
	}
}
