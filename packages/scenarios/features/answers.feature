Feature: Every caller gets the whole answer to its own request

  @process @whole-answer @cut @late-answer
  Scenario: Answers come out of order and one target cuts its answers short
    Given a desk with 2 plain targets and 0 engines
    And one target answers 200 milliseconds late
    When 10 quotes are requested through every host
    Then every quote is answered whole and to its own caller
    When one target truncates its next answers
    And 10 quotes are requested through every host
    Then every quote is answered whole and to its own caller
    When every connection to the targets is reset
    And 10 quotes are requested through every host
    Then every quote is answered whole and to its own caller

  @process @whole-answer @at-most-once @cut @twice
  Scenario: Every answer is cut short, and none is passed on as if it were whole
    Given a desk with 2 plain targets and 0 engines
    And every target truncates its answers
    When 3 quotes are requested through every host
    Then every quote is refused as "target-failed"
    When call a sends order o1 through leon-1 with key k1
    And call b sends order o1 through leon-2 with key k1
    Then the answer to call a says "unknown"
    And the answer to call b says "unknown"
    And order o1 ran 1 times

  @process @whole-answer @at-most-once @silent-connection
  Scenario: Open connections to the targets go silent while new ones work
    Given a desk with 1 plain targets whose network can be cut
    When 3 quotes are requested through every host
    Then every quote is answered whole and to its own caller
    When the open connections to the targets carry no more data
    And call a sends order o1 through leon-1 with key k1
    And 3 quotes are requested through every host
    Then call a confirms order o1
    And every quote is answered whole and to its own caller
    And order o1 ran 1 times

  @process @whole-answer @cut
  Scenario: Streams end whole, with an error event, or on another engine
    Given a desk with 1 plain targets and 2 engines
    When completion a of 40 tokens is streamed through leon-1
    Then completion a ends whole
    When one engine breaks off each stream after 0 tokens
    And completion b of 40 tokens is streamed through leon-1
    And completion c of 40 tokens is streamed through leon-1
    Then completion b ends whole
    And completion c ends whole
    When the engines break off each stream after 5 tokens
    And completion d of 40 tokens is streamed through leon-2
    Then completion d ends with the error "target-failed"

  @process @whole-answer @cut
  Scenario: A caller leaves its stream, and another trainer meddles with a step
    Given a desk with 1 plain targets and 2 engines
    When completion a of 4000 tokens is streamed through leon-1
    And completion a has begun
    And the caller disconnects from completion a
    Then the engines have cancelled 1 streams
    When the trainer runs step s1 of 4 groups with 2 samples within 30 seconds
    And another trainer can neither read, pull nor cancel step s1
    Then every sample of step s1 is delivered exactly once
