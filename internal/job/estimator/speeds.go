package estimator

// speedGain is the weight of a new observation of a speed, minSpeed the least expected.
const (
	speedGain = 0.1
	minSpeed  = 0.3
	// initialSpeed is expected of fillers of an image that never ran beside serving
	// tasks.
	initialSpeed = 0.8
)

// Speeds averages, by image, the share of their processors that fillers get on VMs with
// serving tasks. Those that press on many serving images are slow wherever they run.
type Speeds struct{ byImage map[string]float64 }

// NewSpeeds returns averages without observations.
func NewSpeeds() *Speeds { return &Speeds{byImage: map[string]float64{}} }

// Observe adds the mean speed of the running fillers of an image.
func (s *Speeds) Observe(image string, speed float64) {
	old, ok := s.byImage[image]
	if !ok {
		old = initialSpeed
	}
	s.byImage[image] = old + speedGain*(speed-old)
}

// Expected returns the speed to expect of a filler of the image.
func (s *Speeds) Expected(image string) float64 {
	if speed, ok := s.byImage[image]; ok {
		return max(speed, minSpeed)
	}
	return initialSpeed
}
