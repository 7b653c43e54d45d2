package relay

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"chervilspan.example/internal/dbpool"
	"chervilspan.example/internal/proto/peerpb"
	"chervilspan.example/pkg/dbop"
)

// TestOutOfRange guards against a code that loses its high bits on the way, so that a
// failure of another version of the proxy becomes an acknowledged commit, and against a
// state or a failure that nothing knows.
func TestOutOfRange(t *testing.T) {
	is := is.New(t)
	for _, code := range []uint32{256, 257, 16, 1<<32 - 1} {
		a, ok := fromAnswer(&peerpb.RelayAnswer{Code: code})
		is.True(ok)
		is.Equal(a.Code, dbop.Unknown)
		res, err := toReadResult(&peerpb.RelayReadDone{Setup: code})
		is.NoErr(err)
		is.Equal(res.Setup, dbop.Unknown)
	}
	_, ok := fromAnswers([]*peerpb.RelayAnswer{{}, {State: 256}})
	is.True(!ok)
	_, err := toReadResult(&peerpb.RelayReadDone{Answer: &peerpb.RelayAnswer{State: 3}})
	is.True(err != nil)
	for _, failure := range []uint32{8, 256, 1<<32 - 1} {
		is.Equal(fromFailure(&peerpb.RelayOpened{Failure: failure, Code: 256}), &dbpool.Error{Kind: dbpool.KindLenderFailed, Code: dbop.Unknown})
	}
}

// FuzzRelay guards against messages of other VMs that crash the process, or give
// statements, codes and states that nothing knows.
func FuzzRelay(f *testing.F) {
	for _, m := range []proto.Message{
		&peerpb.RelayReply{Step: &peerpb.RelayReply_Ran{Ran: &peerpb.RelayRan{Answers: []*peerpb.RelayAnswer{{Code: 256, State: 256}}}}},
		&peerpb.RelayReply{Step: &peerpb.RelayReply_ReadDone{ReadDone: &peerpb.RelayReadDone{Setup: 300, Opened: &peerpb.RelayOpened{Failure: 256}}}},
		&peerpb.RelayRequest{Step: &peerpb.RelayRequest_Run{Run: &peerpb.RelayRun{Statements: []*peerpb.RelayStatement{{Kind: 1}, {Kind: 300}}}}},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		var reply peerpb.RelayReply
		if proto.Unmarshal(b, &reply) == nil {
			answers, ok := fromAnswers(reply.GetRan().GetAnswers())
			for _, a := range answers {
				is.True(!ok || a.Code <= dbop.Malformed && a.State <= dbop.InError)
			}
			if done := reply.GetReadDone(); done != nil {
				res, err := toReadResult(done)
				is.True(err != nil || res.Setup <= dbop.Malformed && res.Answer.Code <= dbop.Malformed && res.Answer.State <= dbop.InError)
			}
		}
		var request peerpb.RelayRequest
		if proto.Unmarshal(b, &request) == nil {
			sts, ok := fromStatements(request.GetRun().GetStatements())
			for _, st := range sts {
				is.True(!ok || st.Kind >= dbop.Begin && st.Kind <= dbop.Reset)
			}
		}
	})
}
