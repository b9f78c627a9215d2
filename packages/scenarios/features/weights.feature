Feature: Engines come to the published weights, and samples name the weights that produced them

  @process @version-truth @partial-swap @kv-lost-answer @twice
  Scenario: A swap fails partway while answers of the key-value service are lost
    Given a fleet of 1 zones with 2 hosts and 3 engines that swap in 50 milliseconds
    When swaps of engine leon-engine-1 fail partway
    And the answers to the next 2 writes are lost and the trainer publishes version 2
    Then every host lists engine leon-engine-1 as not whole
    When the trainer runs step s1 of 10 groups at version 2
    Then step s1 is complete and names only versions 1 to 2
    And engine leon-engine-1 was given no work since
    When swaps of engine leon-engine-1 succeed
    Then every engine is whole at version 2

  @process @version-truth @freeze @lease-lapse @twice
  Scenario: The conductor is frozen in a roll-out and wakes after its lease lapsed
    Given a fleet of 1 zones with 3 hosts and 6 engines that swap in 700 milliseconds
    When the trainer publishes version 2
    And the conductor is frozen once an engine swaps
    Then every engine is whole at version 2
    When the trainer publishes version 3 through a running host
    And the frozen conductor is thawed
    Then every engine is whole at version 3
    And no engine received an order with a lower fencing token than before
    And at least one engine was whole at every moment

  @process @version-truth @late-answer @kill
  Scenario: A delayed order takes effect at an engine that ignores fencing after its conductor was killed
    Given a fleet of 1 zones with 2 hosts and 2 engines that swap in 50 milliseconds
    When the trainer publishes version 3
    Then every engine is whole at version 3
    When the conductor of the last orders is killed
    And an order of version 2 with an old fencing token reaches engine leon-engine-1
    Then every engine is whole at version 3

  @process @staleness-bound @kv-outage @kill @twice
  Scenario: Weights are published in an outage of the key-value service and the hosts restart after it
    Given a fleet of 1 zones with 3 hosts and 2 engines that swap in 50 milliseconds
    When the key-value service is down
    And the trainer publishes version 4
    And the trainer runs step s1 of 5 groups at version 4
    Then every host has version 4 as the published one
    And 1500 milliseconds pass
    And no engine received a load order
    And no sample of step s1 is delivered
    When the key-value service is up
    Then every engine is whole at version 4
    And step s1 is complete and names only versions 3 to 4
    When every host is killed and starts again
    Then every host has version 4 as the published one
