package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/ident"
	"chervilspan.example/pkg/roster"
	"chervilspan.example/pkg/speed"
)

// TestSpeedFields guards against figures of a lender of an older version, which sends
// none, or implausible ones, that change the estimates, and against reports that take
// more than a few bytes.
func TestSpeedFields(t *testing.T) {
	is := is.New(t)
	var got []speed.Report
	c := NewClient(Config{RecordSpeed: func(_ ident.Target, r speed.Report) { got = append(got, r) }})
	m := &roster.Member{Entry: roster.Entry{ID: "a", Slots: 4}}
	c.recordSpeed(m, &peerpb.RelayOpened{})
	c.recordSpeed(m, &peerpb.RelayOpened{SpeedClass: 1 << 20, ServiceUs: 1})
	is.Equal(len(got), 0)
	r := speed.Report{Class: speed.ClassOf("reports"), Time: 20 * time.Millisecond, Age: 30 * time.Millisecond, Limit: 0.75}
	o := &peerpb.RelayOpened{}
	setSpeed(o, r, m.Slots)
	is.True(proto.Size(o) <= 20)
	c.recordSpeed(m, o)
	is.Equal(got, []speed.Report{r})
	NewClient(Config{}).recordSpeed(m, o) // nobody takes the figures
}
