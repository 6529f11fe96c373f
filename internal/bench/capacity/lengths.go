package capacity

import "github.com/pimentohinge/pimentohinge/internal/control/length"

func estimators(n int) []*length.Estimator {
	list := make([]*length.Estimator, n)
	for i := range list {
		list[i] = length.New()
	}
	return list
}
