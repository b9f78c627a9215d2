Feature: Owners decide from the trainer's cursor alone

  @decision @exactly-once @freeze @late-answer
  Scenario: An owner that was paused answers a pull that the trainer has moved past
    Given leon-1 owns a step of 4 samples
    And leon-1 finishes 2 samples under version 1
    And the trainer pulls 2 samples from leon-1
    And leon-2 owns a step of 4 samples
    And leon-2 finishes 4 samples under version 1
    When the trainer pulls 3 samples from leon-2
    And answer 2 arrives
    And answer 1 arrives
    Then the trainer has received 3 samples
    And the trainer pulls 4 samples from leon-2
    And answer 3 arrives
    And the trainer has received every sample exactly once

  @decision @exactly-once @cut
  Scenario: A connection breaks after the bytes left and before the cursor came back
    Given leon-1 owns a step of 4 samples
    And leon-1 finishes 2 samples under version 1
    When the trainer pulls 4 samples from leon-1
    And leon-1 finishes 2 samples under version 1
    And the trainer pulls 4 samples from leon-1
    Then answer 1 equals answer 2
    And answer 1 arrives
    And answer 2 arrives
    And the trainer pulls 4 samples from leon-1
    And answer 3 arrives
    And the trainer has received every sample exactly once

  @decision @exactly-once @kill @twice
  Scenario: Two owners lose their state one after the other
    Given leon-1 owns a step of 6 samples
    And leon-1 finishes 2 samples under version 1
    And the trainer pulls 2 samples from leon-1
    And answer 1 arrives
    When leon-1 loses its state
    And leon-2 owns a step of 6 samples
    And the trainer pulls 2 samples from leon-2
    And leon-2 finishes 2 samples under version 1
    And leon-2 loses its state
    And leon-3 owns a step of 6 samples
    And the trainer pulls 6 samples from leon-3
    And leon-3 finishes 4 samples under version 1
    And the trainer pulls 6 samples from leon-3
    And answer 2 arrives
    Then the trainer has received every sample exactly once
    And leon-1 must yield to leon-3

  @decision @late-answer @exactly-once
  Scenario: The answer of an attempt that was given up comes late
    Given leon-1 owns a step of 2 samples
    When leon-1 abandons an attempt
    And leon-1 finishes 2 samples under version 1
    Then the answer of that attempt is late at leon-1
    And the trainer pulls 2 samples from leon-1
    And answer 1 arrives
    And the trainer has received every sample exactly once

  @decision @staleness-bound
  Scenario: A batch that was fresh is too old when it is asked for again
    Given leon-1 owns a step of 2 samples
    And leon-1 finishes 2 samples under version 1
    And the trainer pulls 2 samples from leon-1
    When the trainer is at version 3
    And the trainer pulls 2 samples from leon-1
    Then 1 answers are in flight
    And leon-1 finishes 2 samples under version 2
    And the trainer pulls 2 samples from leon-1
    And answer 2 arrives
    And the trainer has received every sample exactly once

  @decision @staleness-bound
  Scenario: A sample that would end too old is not started on an old engine
    Then samples of 5 minutes, versions every 21 minutes and a bound of 1 require at least version 9 of 10
    And samples of 30 minutes, versions every 21 minutes and a bound of 1 require at least version 10 of 10
    And samples of 90 minutes, versions every 21 minutes and a bound of 1 require at least version 9 of 10
