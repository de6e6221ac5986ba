package event

// The membership events.
const (
	MemberDead Number = 3003
)

var membership = []Entry{
	{MemberDead, "member-dead", "an entry has not been heard from and is taken out", "replace the VM if the platform has not done so"},
}
