# One of five controllers that keep each other's open work. Off wherever this file is not given.
store {
  directory = "/var/lib/liftshift"
}

fleet {
  name     = "kurume"
  address  = "10.0.0.4:7950"
  seeds    = ["10.0.0.4:7950", "10.0.0.5:7950", "10.0.0.6:7950"]
  zone     = "kurume-1"
  founders = ["n1", "n2", "n3"]
}

estate {
  copies      = 2                  # five controllers at least
  condition   = "disk and holders" # what must stand before a labelled or irreversible shot leaves
  unreachable = "deny"
}

control {
  socket = "/run/liftshift/control.sock" # liftshift estate show --file deploy/estate.hcl
}
