
what is said