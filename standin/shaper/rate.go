package shaper

// SetRate changes the rate to some bytes a second. Bytes that the link has taken before keep their times.
func (l *Link) SetRate(rate int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = float64(rate)
}
