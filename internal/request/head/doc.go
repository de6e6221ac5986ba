// Package head rejects heads of answers that net/http parses although HTTP/1.1 does not allow them: fields whose names hold
// blanks, folded lines and undefined statuses. Such a field is not recognized, so that a length or a transfer coding goes
// unnoticed and the body ends in another place than its sender's.
package head
