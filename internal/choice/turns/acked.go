package turns

// Acked returns the newest committed acknowledgement of a node, with its incarnation; the zero value if there is none.
func (b *Schedule) Acked(node string) Ack {
	a, _ := b.ack(node)
	return a
}

var noticeNames = [...]string{"granted", "called back", "overrun", "expired", "refused", "finished", "idle"}

func (k NoticeKind) String() string { return noticeNames[k] }
