Feature: A zone that is cut off goes on serving what it can

  @process @exactly-once @whole-answer @cut
  Scenario: A zone is cut off, serves its callers and its trainer, and rejoins
    Given 2 zones with 2 hosts, 2 engines and 2 plain targets each
    And callers in zone leon send requests continuously
    When zone leon is cut off
    And the trainer runs step s1 of 10 groups with 4 samples within 40 seconds
    And the trainer has at least 10 samples of step s1
    And the network recovers
    Then every sample of step s1 is delivered exactly once
    And no request was cut off, lost or duplicated

  @process @exactly-once @kill
  Scenario: All hosts of one zone are lost at once and come back
    Given 2 zones with 2 hosts, 2 engines and 1 plain targets each
    When the trainer runs step s1 of 20 groups with 4 samples within 50 seconds
    And the trainer has at least 10 samples of step s1
    And all hosts of zone leon are killed
    And all hosts of zone leon start again
    Then every sample of step s1 is delivered exactly once
    And host leon-1 lists the hosts "leon-1 leon-2" as alive
