package loadshed

import "slices"

// level returns the level, as defined at Decision.Level, that sheds the given ratio of all requests, 0 to 1. It uses the request
// rates of the reports.
func (s Settings) level(ratio float64, reports []Report) float64 {
	rates, sum := s.meanRates(reports)
	excess, level := ratio*sum, 0.0
	for priority, rate := range rates {
		if excess <= 0 {
			break
		}
		shedFraction := 1.0
		if rate > 0 {
			shedFraction = min(excess/rate, 1)
		}
		if priority == 0 {
			shedFraction = min(shedFraction, 1-s.MinAdmittedRatio)
		}
		excess -= rate
		level = float64(priority) + shedFraction
		if shedFraction < 1 && priority > 0 {
			break
		}
	}
	return level
}

// meanRates returns the trimmed mean of the instances' request rates for each priority, and the sum of these means.
func (s Settings) meanRates(reports []Report) (rates []float64, sum float64) {
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

// medianShedRatio returns the median of the reported shed ratios, or 0 if there are no reports.
func medianShedRatio(reports []Report) float64 {
	if len(reports) == 0 {
		return 0
	}
	ratios := make([]float64, len(reports))
	for i, r := range reports {
		ratios[i] = r.ShedRatio
	}
	return median(ratios)
}

// median returns the median of at least one value. It sorts values in place.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	if n%2 == 0 {
		return (values[n/2-1] + values[n/2]) / 2
	}
	return values[n/2]
}

// trimmedMean returns the mean of at least one value. If there are more than two, the lowest and the highest are left out. It
// sorts values in place.
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
