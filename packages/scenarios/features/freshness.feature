Feature: No sample is older than the staleness bound, and each names its true versions

  @process @staleness-bound @exactly-once @version-truth
  Scenario: The trainer publishes versions while a step runs
    Given 1 zones with 2 hosts, 2 engines and 1 plain targets each
    When the trainer runs step s1 of 20 groups with 4 samples of 60 tokens
    And the trainer has at least 4 samples of step s1
    And the trainer publishes version 2 of step s1
    And the trainer has at least 20 samples of step s1
    And the trainer publishes version 3 of step s1
    And the trainer has at least 30 samples of step s1
    And the trainer publishes version 4 of step s1
    Then every sample of step s1 is delivered exactly once
    And every sample of step s1 was fresh when it arrived
    And every sample of step s1 names the versions of all of its tokens

  @process @version-truth @exactly-once
  Scenario: Weights are swapped in the middle of samples
    Given 1 zones with 2 hosts, 2 engines and 1 plain targets each
    When the trainer runs step s1 of 4 groups with 4 samples of 400 tokens
    And step s1 eventually has one owner
    And every engine generates tokens
    And the trainer publishes version 2 of step s1
    Then every sample of step s1 is delivered exactly once
    And every sample of step s1 names the versions of all of its tokens
    And some sample of step s1 names version 1 and version 2

  @process @version-truth @exactly-once
  Scenario: Engines leave out the versions of their tokens for a while
    Given 1 zones with 2 hosts, 2 engines and 1 plain targets each
    When the trainer runs step s1 of 20 groups with 4 samples of 50 tokens
    And the engines omit versions until 5 samples were discarded for this reason
    Then every sample of step s1 is delivered exactly once
    And every sample of step s1 names the versions of all of its tokens

  @process @staleness-bound @exactly-once @freeze @lease-lapse
  Scenario: The owner is frozen with finished samples while the trainer publishes past them
    Given 1 zones with 3 hosts, 2 engines and 1 plain targets each
    When the trainer runs step s1 of 20 groups with 4 samples of 80 tokens
    And the trainer has at least 4 samples of step s1
    And the owner of step s1 is frozen until another owns it
    And the trainer publishes version 2 of step s1
    And the trainer publishes version 3 of step s1
    And the owner of step s1 is thawed
    Then every sample of step s1 is delivered exactly once
    And every sample of step s1 was fresh when it arrived
