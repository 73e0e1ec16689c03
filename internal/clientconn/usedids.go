package clientconn

// maxUsedIDs is how many used ids are remembered, about half a megabyte. Ids are new with every connection, so that a client
// which keeps to the protocol is never refused for one.
const maxUsedIDs = 16 << 10

// usedIDs are the hashes of ids under which a request has come that may have run and must not run again. Once there are too
// many, the oldest are forgotten.
type usedIDs struct {
	hashes []uint64 // a ring once it is full; next is the oldest then
	next   int
	added  int // ids in all
	set    map[uint64]bool
}

func (u *usedIDs) contains(hash uint64) bool { return u.set[hash] }

func (u *usedIDs) add(hash uint64) {
	if u.set[hash] {
		return
	}
	if u.set == nil {
		u.set = map[uint64]bool{}
	}
	u.set[hash] = true
	u.added++
	if len(u.hashes) < maxUsedIDs {
		u.hashes = append(u.hashes, hash)
		return
	}
	delete(u.set, u.hashes[u.next])
	u.hashes[u.next] = hash
	u.next = (u.next + 1) % maxUsedIDs
}

// latest returns the count ids that were added last, or all if there are fewer, oldest first.
func (u *usedIDs) latest(count int) []uint64 {
	count = min(count, len(u.hashes))
	latest := make([]uint64, 0, count)
	for i := range count {
		latest = append(latest, u.hashes[(u.next+len(u.hashes)-count+i)%len(u.hashes)])
	}
	return latest
}
