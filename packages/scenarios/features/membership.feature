Feature: Hosts know which hosts of their zone are alive

  @process @kill
  Scenario: A host is killed and returns while the host list is down
    Given 1 zones with 3 hosts, 1 engines and 1 plain targets each
    And host leon-1 lists the hosts "leon-1 leon-2 leon-3" as alive
    When the host list is down
    And host leon-3 is killed
    Then host leon-1 lists the hosts "leon-1 leon-2" as alive
    When the host list is up to date
    And host leon-3 starts again
    Then host leon-2 lists the hosts "leon-1 leon-2 leon-3" as alive

  @process @freeze
  Scenario: A frozen host is dropped, and suspects nobody when it wakes
    Given 1 zones with 3 hosts, 1 engines and 1 plain targets each
    And host leon-3 lists the hosts "leon-1 leon-2 leon-3" as alive
    When host leon-3 is frozen
    Then host leon-1 lists the hosts "leon-1 leon-2" as alive
    When host leon-3 is thawed
    Then host leon-3 lists the hosts "leon-1 leon-2 leon-3" as alive all the time
    And host leon-1 lists the hosts "leon-1 leon-2 leon-3" as alive

  @process @silent-connection @cut
  Scenario: The links between hosts go silent and two hosts are cut off from each other, and no view changes
    Given 1 zones with 3 hosts, 1 engines and 1 plain targets each
    And host leon-1 lists the hosts "leon-1 leon-2 leon-3" as alive
    When every open connection between hosts carries no more data
    And hosts leon-1 and leon-2 are cut off from each other
    Then host leon-1 lists the hosts "leon-1 leon-2 leon-3" as alive all the time
    And host leon-3 lists the hosts "leon-1 leon-2 leon-3" as alive all the time
