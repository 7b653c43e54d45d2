package bench

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilspan.example/standin/load"
)

// TestObjectives guards against a missed objective that is reported as met, and
// against NaN, the value of an empty measure, that is reported as met.
func TestObjectives(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	p := &printer{out: &out}
	is.NoErr(p.print(atMost("m", "c", 1.5, "s", 1.5)))
	is.NoErr(p.print(atLeast("m", "c", 0.99, "share", 0.99)))
	is.NoErr(p.print(withoutObjective("m", "c", 1, "s")))
	is.Equal(p.missed, 0)
	is.NoErr(p.print(atMost("m", "c", 1.6, "s", 1.5)))
	is.NoErr(p.print(atLeast("m", "c", 0.98, "share", 0.99)))
	is.Equal(p.missed, 2)
	is.True(!*atMost("m", "c", math.NaN(), "s", 1).Met)
	first, _, _ := bytes.Cut(out.Bytes(), []byte("\n"))
	is.Equal(string(first), `{"measure":"m","case":"c","value":1.5,"unit":"s","target":1.5,"met":true}`)
	is.True(bytes.Contains(out.Bytes(), []byte(`"target":null,"met":null`)))
}

// TestQuantiles guards against quantiles that omit the worst trial.
func TestQuantiles(t *testing.T) {
	is := is.New(t)
	v := []float64{3, 1, 2, 10}
	is.Equal(median(v), 2.5)
	is.Equal(median(v[:3]), 2.0)
	is.Equal(nearestRank(v, 1), 10.0)
	is.Equal(nearestRank(v, 0.99), 10.0)
	is.Equal(nearestRank(v, 0.5), 2.0)
	is.True(math.IsNaN(median(nil)))
	is.True(math.IsNaN(nearestRank(nil, 1)))
}

// TestRefusedShare guards against refusals that are not counted, and against
// other errors that are.
func TestRefusedShare(t *testing.T) {
	is := is.New(t)
	r := &load.Report{Total: load.Counts{Sent: 100, Codes: map[string]int{"53400": 1, "53300": 2, "57P03": 3, "23505": 50}}}
	is.Equal(refusedShare(r), 0.06)
}

// TestInterRegionBytes guards against traffic within the region that counts as
// traffic between regions, and against missing counters that count as 0 bytes.
func TestInterRegionBytes(t *testing.T) {
	is := is.New(t)
	const text = `# TYPE chervil_peer_sent_bytes counter
chervil_peer_sent_bytes{peer_region="andina"} 1000
chervil_peer_sent_bytes{peer_region="caribe"} 200
# TYPE chervil_peer_received_bytes counter
chervil_peer_received_bytes{peer_region="andina"} 4000
chervil_peer_received_bytes{peer_region="caribe"} 30
chervil_peer_received_bytes{peer_region="unknown"} 4
`
	n, err := sumInterRegionBytes(strings.NewReader(text), "andina")
	is.NoErr(err)
	is.Equal(n, 234.0)
	_, err = sumInterRegionBytes(strings.NewReader(""), "andina")
	is.True(err != nil)
}
