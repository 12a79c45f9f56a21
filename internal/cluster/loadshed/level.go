package loadshed

import "slices"

// level converts a ratio of all requests into a level, by the request rates of the reports.
func (s Settings) level(ratio float64, reports []Report) float64 {
	rates, sum := s.fleetRates(reports)
	excess, level := ratio*sum, 0.0
	for priority, rate := range rates {
		if excess <= 0 {
			break
		}
		part := 1.0
		if rate > 0 {
			part = min(excess/rate, 1)
		}
		if priority == 0 {
			part = min(part, 1-s.MinAdmittedRatio)
		}
		excess -= rate
		level = float64(priority) + part
		if part < 1 && priority > 0 {
			break
		}
	}
	return level
}

// fleetRates returns the request rate of an average instance by priority, and the sum of these.
func (s Settings) fleetRates(reports []Report) (rates []float64, sum float64) {
	rates = make([]float64, s.Priorities)
	for priority := range rates {
		reported := make([]float64, len(reports))
		for i, r := range reports {
			reported[i] = r.RequestRates[priority]
		}
		rates[priority] = trimmedMean(reported)
		sum += rates[priority]
	}
	return rates, sum
}

// medianRatio is the median of the shed ratios, 0 without reports.
func medianRatio(reports []Report) float64 {
	if len(reports) == 0 {
		return 0
	}
	ratios := make([]float64, len(reports))
	for i, r := range reports {
		ratios[i] = r.ShedRatio
	}
	return median(ratios)
}

// median sorts values, of which there is at least one, and returns their median.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	if n%2 == 0 {
		return (values[n/2-1] + values[n/2]) / 2
	}
	return values[n/2]
}

// trimmedMean sorts values and returns their mean without the lowest and the highest, where there are more than two.
func trimmedMean(values []float64) float64 {
	slices.Sort(values)
	if len(values) > 2 {
		values = values[1 : len(values)-1]
	}
	mean := 0.0
	for _, v := range values {
		mean += v / float64(len(values))
	}
	return mean
}
