// Package admission decides, while a service is short of capacity, which
// requests are sent, which may use a retry and which are refused at once. It knows
// only what one entry sees: its own requests, their answers and their rejections.
// Without a recent sign of a shortage every request is admitted.
package admission
