# The operators' own file of an installation with a disk that lasts. Without it nothing here is on.
#   RELAY_CONFIG=... liftshift serve --file deploy/office.hcl
store {
  directory    = "/var/lib/liftshift" # for this controller alone
  segment      = "4MiB"               # one log file
  lag          = "50ms"               # what no attempt waits for is written by then
  remember     = "10m"                # idempotency keys are kept so long past the window of their class
  keep_answers = "4KiB"               # answers of keyed requests up to this are kept with their key
  most_kept    = 200000               # keys, and requests, at most
}
