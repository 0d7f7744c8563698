# One of several controllers that keep a membership view of one another, and a consensus group that three of them form.
store {
  directory = "/var/lib/liftshift"
}

cluster {
  name     = "kurume"
  address  = "10.0.0.4:7950" # UDP and TCP, as the others reach it; the network is for controllers alone
  seeds    = ["10.0.0.4:7950", "10.0.0.5:7950", "10.0.0.6:7950"]
  zone     = "kurume-1"
  founders = ["n1", "n2", "n3"] # the same in all files
}

control {
  socket = "/run/liftshift/control.sock" # liftshift members --file deploy/cluster.hcl
}
