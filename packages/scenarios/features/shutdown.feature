Feature: A planned stop cuts off no request in progress

  @process @graceful-shutdown
  Scenario: A host stops under full load with long streams
    Given 1 zones with 3 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    And 1000 milliseconds pass
    When an operator stops host leon-2
    Then host leon-2 ends with exit code 0
    And no request was cut off, lost or duplicated

  @process @graceful-shutdown @kv-outage
  Scenario: A host stops while the key-value service is down
    Given 1 zones with 2 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    When the key-value service is down
    And 500 milliseconds pass
    And an operator stops host leon-1
    Then host leon-1 ends with exit code 0
    And no request was cut off, lost or duplicated

  @process @graceful-shutdown @exactly-once @twice
  Scenario: Each host of a zone is restarted, one after the other
    Given 1 zones with 3 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    When the trainer runs step s1 of 30 groups with 8 samples within 60 seconds
    And each host is stopped and started again, one after the other
    Then every sample of step s1 is delivered exactly once
    And no request was cut off, lost or duplicated

  @process @graceful-shutdown @freeze @silent-connection
  Scenario: A host is frozen for a while as it stops, and its links to the others go silent
    Given 1 zones with 3 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    And 500 milliseconds pass
    When an operator stops host leon-1
    And every open connection between hosts carries no more data
    And host leon-1 is frozen
    And 1500 milliseconds pass
    And host leon-1 is thawed
    Then host leon-1 ends with exit code 0
    And no request was cut off, lost or duplicated

  @process @graceful-shutdown @cut
  Scenario: A host stops in a zone that is cut off
    Given 2 zones with 2 hosts, 2 engines and 2 plain targets each
    And callers in zone leon send requests continuously
    When zone leon is cut off
    And 500 milliseconds pass
    And an operator stops host leon-2
    Then host leon-2 ends with exit code 0
    And no request was cut off, lost or duplicated

  @process @graceful-shutdown @exactly-once @kill
  Scenario: Another host is killed while one stops
    Given 1 zones with 4 hosts, 2 engines and 2 plain targets each
    When the trainer runs step s1 of 20 groups with 4 samples within 60 seconds
    And the trainer has at least 10 samples of step s1
    And an operator stops host leon-1
    And host leon-3 is killed
    Then host leon-1 ends with exit code 0
    And every sample of step s1 is delivered exactly once

  @process @graceful-shutdown @late-answer
  Scenario: An impatient operator is told what is unknown
    Given 1 zones with 1 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    And 1000 milliseconds pass
    When an operator interrupts host leon-1
    And an operator interrupts host leon-1 a second time
    Then host leon-1 ends with exit code 3
    And some requests ended with an unknown outcome, and none was cut off without an answer

  @process @graceful-shutdown
  Scenario: A host is asked to stop and to read its settings again and again while it stops
    Given 1 zones with 3 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    And 1000 milliseconds pass
    When an operator stops host leon-2
    And host leon-2 gets the signals SIGTERM, SIGHUP, SIGTERM, SIGINT and SIGTERM
    Then host leon-2 ends with exit code 0
    And no request was cut off, lost or duplicated

  @process @graceful-shutdown
  Scenario: An operator takes a host out of service without stopping it
    Given 1 zones with 2 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    When an operator drains host leon-1
    Then host leon-2 lists the hosts "leon-2" as alive
    And no request was cut off, lost or duplicated
