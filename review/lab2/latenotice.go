package main

import "errors"

func lateNotice(*lab) (bool, error) { return false, errors.New("not written") }
