package scale

import "fmt"

// RequestSlopes measures what requests alone cost, with callers' keys and with
// minted ones.
func RequestSlopes(progress func(string)) ([]Slope, error) {
	var slopes []Slope
	for _, minted := range []bool{false, true} {
		var claimBytes, claimFrames, processor []Sample
		for _, rate := range []float64{0, 10, 24} {
			point, err := run(shape{zones: 3, perZone: 4, engines: 6, rate: rate, minted: minted})
			if err != nil {
				return nil, err
			}
			served := point.served / float64(point.nodes())
			progress(fmt.Sprintf("requests, minted keys %v: %.1f/s a node, %.0f B/s a node, %.2f%% of a core", minted, served, point.totalBytes(), 100*point.processor))
			claimBytes = append(claimBytes, Sample{X: served, Y: point.totalBytes()})
			claimFrames = append(claimFrames, Sample{X: served, Y: point.totalFrames()})
			processor = append(processor, Sample{X: served, Y: 100 * point.processor})
		}
		name := "request with a caller's key"
		if minted {
			name = "request with a minted key"
		}
		slopes = append(slopes,
			fit(name+": peers", "B/s a node", "request/s a node", claimBytes),
			fit(name+": peers", "frames/s a node", "request/s a node", claimFrames),
			fit(name+": processor, caller and engine included", "% of a core a node", "request/s a node", processor))
	}
	return slopes, nil
}
