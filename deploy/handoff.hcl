# One of five controllers that keep copies of each other's open requests. Off wherever this file is not given.
store {
  directory = "/var/lib/liftshift"
}

cluster {
  name     = "kurume"
  address  = "10.0.0.4:7950"
  seeds    = ["10.0.0.4:7950", "10.0.0.5:7950", "10.0.0.6:7950"]
  zone     = "kurume-1"
  founders = ["n1", "n2", "n3"]
}

handoff {
  copies      = 2                  # five controllers at least
  condition   = "disk and replicas" # what must be kept before a keyed or unsafe attempt leaves
  unreachable = "reject"
}

control {
  socket = "/run/liftshift/control.sock" # liftshift handoff show --file deploy/handoff.hcl
}
