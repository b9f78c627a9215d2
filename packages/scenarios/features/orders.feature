Feature: An order runs at most once, and a refusal that says "not run" is true

  @process @at-most-once @not-run-true @kill @kv-slow @kv-outage
  Scenario: The host is killed after its claim stood and before it dispatched the order
    Given a desk with 1 plain targets and 0 engines
    And the key-value service delays its answers to writes by 60000 milliseconds
    When call a sends order o1 through leon-1 with key k1
    And a claim has the state "claimed"
    And the key-value service is down
    And host leon-1 is killed
    And the key-value service delays its answers to writes by 0 milliseconds
    And the key-value service is up
    And call b sends order o1 through leon-2 with key k1
    Then the answer to call b says "unknown"
    And order o1 ran 0 times

  @process @at-most-once @not-run-true @kill
  Scenario: The host is killed after it dispatched the order
    Given a desk with 1 plain targets and 0 engines
    And the targets answer 3000 milliseconds late
    When call a sends order o1 through leon-1 with key k1
    And order o1 reaches a target
    And host leon-1 is killed
    And call b sends order o1 through leon-2 with key k1
    And call c sends order o1 through leon-3 with key k1
    Then the answer to call b says "unknown"
    And the answer to call c says "unknown"
    And order o1 ran 1 times

  @process @at-most-once @not-run-true @kill @kv-outage @twice
  Scenario: The host is killed after the target's answer and before the outcome was stored
    Given a desk with 1 plain targets and 0 engines
    And the targets answer 500 milliseconds late
    When call a sends order o1 through leon-1 with key k1
    And order o1 reaches a target
    And the key-value service is down
    Then call a confirms order o1
    When host leon-1 is killed
    And call b sends order o1 through leon-2 with key k1
    Then the answer to call b says "unknown"
    And call b can be retried
    When the key-value service is up
    And call c sends order o1 through leon-2 with key k1
    Then the answer to call c says "unknown"
    And order o1 ran 1 times

  @process @at-most-once @whole-answer @kill
  Scenario: The outcome that was stored is replayed through another host, and to no one else
    Given a desk with 1 plain targets and 0 engines
    When call a sends order o1 through leon-1 with key k1
    Then call a confirms order o1
    And a claim has the state "answered"
    When host leon-1 is killed
    And call b sends order o1 through leon-2 with key k1
    And call c sends order o2 through leon-3 with key k1
    And the planner sends call d with order o3 and key k1 through leon-3
    Then call b confirms order o1
    And call c is refused as "conflict"
    And call d confirms order o3
    And order o1 ran 1 times
    And order o2 ran 0 times

  @process @at-most-once @whole-answer @twice
  Scenario: The same key comes to three hosts at once
    Given a desk with 2 plain targets and 0 engines
    And the targets answer 300 milliseconds late
    When call a sends order o1 through leon-1 with key k1
    And call b sends order o1 through leon-2 with key k1
    And call c sends order o1 through leon-3 with key k1
    Then call a confirms order o1
    And call b confirms order o1
    And call c confirms order o1
    And order o1 ran 1 times

  @process @at-most-once @not-run-true @kv-outage
  Scenario: The key-value service is down
    Given a desk with 1 plain targets and 0 engines
    And the key-value service is down
    When leon-1 issues ticket t1
    And call a sends order o1 through leon-1 with key k1
    And call b sends order o2 through leon-2 with ticket t1
    Then the answer to call a says "not-run"
    And call a can be retried
    And order o1 ran 0 times
    And call b confirms order o2
    When the key-value service is up
    And call c sends order o1 through leon-2 with key k1
    Then call c confirms order o1
    And order o1 ran 1 times

  @process @at-most-once @kv-lost-answer @kv-slow @twice
  Scenario: The answers to the writes of claims are lost after they took effect
    Given a desk with 1 plain targets and 0 engines
    And the key-value service delays every call by 200 milliseconds
    And the key-value service loses its next 2 answers
    When call a sends order o1 through leon-1 with key k1
    And call b sends order o2 through leon-2 with key k2
    Then call a confirms order o1
    And call b confirms order o2
    And order o1 ran 1 times
    And order o2 ran 1 times

  @process @at-most-once @not-run-true @kill
  Scenario: A ticket is used through other hosts, by another caller, and after its host is gone
    Given a desk with 1 plain targets and 0 engines
    When leon-1 issues ticket t1
    And leon-1 issues ticket t2
    And call a sends order o1 through leon-2 with ticket t1
    And call b sends order o1 through leon-3 with ticket t1
    And the planner sends call c with order o1 and ticket t1 through leon-1
    Then call a confirms order o1
    And call b confirms order o1
    And call c is refused as "forbidden"
    When host leon-1 is killed
    And call d sends order o1 through leon-2 with ticket t1
    And host leon-1 starts again
    And leon-1 issues ticket t3
    And call e sends order o1 through leon-1 with ticket t1
    And call f sends order o2 through leon-1 with ticket t2
    Then the answer to call d says "unknown"
    And the answer to call e says "unknown"
    And the answer to call f says "unknown"
    And order o1 ran 1 times
    And order o2 ran 0 times

  @process @at-most-once @whole-answer @freeze @late-answer
  Scenario: The host is frozen while the order runs
    Given a desk with 1 plain targets and 0 engines
    And the targets answer 500 milliseconds late
    When call a sends order o1 through leon-1 with key k1
    And order o1 reaches a target
    And host leon-1 is frozen
    And call b sends order o1 through leon-2 with key k1 for 1000 milliseconds
    Then the answer to call b says "unknown"
    And call b can be retried
    When host leon-1 is thawed
    Then order o1 is eventually confirmed through leon-2 with key k1
    And order o1 ran 1 times

  @process @at-most-once @whole-answer @late-answer
  Scenario: The target answers after the caller's deadline
    Given a desk with 1 plain targets and 0 engines
    And the targets answer 1500 milliseconds late
    When call a sends order o1 through leon-1 with key k1 for 500 milliseconds
    Then the answer to call a says "unknown"
    And call a can be retried
    Then order o1 is eventually confirmed through leon-2 with key k1
    And order o1 ran 1 times

  @process @at-most-once @not-run-true @cut
  Scenario: The target refuses, loses its answer, or answers 503 after it ran the order
    Given a desk with 1 plain targets and 0 engines
    And the targets refuse every request
    When call a sends order o1 through leon-1 with key k1
    Then the answer to call a says "not-run"
    And order o1 ran 0 times
    When the targets have no faults
    And call b sends order o1 through leon-2 with key k1
    Then call b confirms order o1
    When the targets lose their next answer
    And call c sends order o2 through leon-1 with key k2
    Then the answer to call c says "unknown"
    When call d sends order o2 through leon-2 with key k2
    Then the answer to call d says "unknown"
    When the targets answer 503 after they ran a request
    And call e sends order o3 through leon-1 with key k3
    And call f sends order o3 through leon-2 with key k3
    Then call e is answered
    And call f is answered
    When every connection to the targets is reset
    And call g sends order o4 through leon-3 with key k4
    Then call g is answered
    And order o4 ran 1 times
    And order o1 ran 1 times
    And order o2 ran 1 times
    And order o3 ran 1 times
