// Package problem describes the error answers that callers get.
package problem

import "github.com/pimentohinge/pimentohinge/internal/outcome"

// ContentType is the media type of a Problem.
const ContentType = "application/problem+json"

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
	Error Error `json:"error"`
}

// Error is the error member of a Problem.
type Error struct {
	// Message is title and detail.
	Message string `json:"message"`
	// Type is the outcome.
	Type outcome.Kind `json:"type"`
	// Code is the cause.
	Code outcome.Cause `json:"code"`
}

const typePrefix = "urn:pimentohinge:"

// New describes how a request ended, with the status of its cause.
func New(id string, o outcome.Outcome) Problem {
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
