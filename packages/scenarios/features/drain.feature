Feature: A target that is leaving gets no new work after a few seconds

  @process @drain @kv-outage @twice
  Scenario: A target leaves while the host list lags and the store is down
    Given 1 zones with 3 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    And target leon-engine-1 has work
    When the host list is out of date
    And the key-value service is down
    And an operator drains target leon-engine-1 on host leon-2
    And an operator drains target leon-engine-1 on host leon-2
    Then target leon-engine-1 gets no new work after a few seconds
    And no request was cut off, lost or duplicated

  @process @drain @cut
  Scenario: A target is drained in a zone that is cut off, and returns with a new incarnation
    Given 2 zones with 2 hosts, 2 engines and 2 plain targets each
    And callers in zone leon send requests continuously
    And target leon-engine-1 has work
    When zone leon is cut off
    And an operator drains target leon-engine-1 on host leon-1
    Then target leon-engine-1 gets no new work after a few seconds
    When the network recovers
    And target leon-engine-1 starts again
    Then target leon-engine-1 gets work again
    And no request was cut off, lost or duplicated

  @process @drain @freeze @silent-connection @late-answer
  Scenario: A host is frozen while a target is drained, and the links between hosts go silent
    Given 1 zones with 3 hosts, 2 engines and 2 plain targets each
    When host leon-3 is frozen
    And every open connection between hosts carries no more data
    And an operator drains target leon-plain-1 on host leon-1
    And 1000 milliseconds pass
    And host leon-3 is thawed
    Then every running host lists target leon-plain-1 as leaving
    When callers send requests continuously
    Then target leon-plain-1 gets no new work after a few seconds

  @process @drain @kill
  Scenario: The host that took the drain is killed, and another one starts afterwards
    Given 1 zones with 3 hosts, 2 engines and 1 plain targets each
    When the host list is out of date
    And an operator drains target leon-engine-2 on host leon-1
    Then every running host lists target leon-engine-2 as leaving
    When host leon-1 is killed
    And host leon-3 is killed
    And host leon-3 starts again
    Then every running host lists target leon-engine-2 as leaving

  @process @drain
  Scenario: The platform lists a target as leaving while it works
    Given 1 zones with 2 hosts, 2 engines and 2 plain targets each
    And callers send requests continuously
    And target leon-plain-2 has work
    When the platform lists target leon-plain-2 as leaving
    Then target leon-plain-2 gets no new work after a few seconds
    And no request was cut off, lost or duplicated
