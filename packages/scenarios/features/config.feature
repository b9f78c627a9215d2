Feature: An accepted configuration comes into force everywhere and never reverts

  @process @config-forward @operator-race @kv-lost-answer @twice
  Scenario: Two operators race, and the answer to an accepted change is lost
    Given a fleet of 1 zones with 3 hosts
    When operators ana and ben change different values of revision 1 at once through two hosts
    Then one of them is refused with the difference
    When the refused operator rebases the change on revision 2
    Then both changes are in force at revision 3 on every host
    When the answers to the next 2 writes are lost and operator ana changes revision 3
    Then the change is accepted once as revision 4
    And revision 4 is in force on every host
    And the history shows revisions 1 to 3

  @process @config-forward @kill @freeze @twice
  Scenario: One watcher is killed and the other frozen before a change is accepted
    Given a fleet of 1 zones with 5 hosts
    When one watcher of zone leon is killed and the other frozen
    And operator ana changes revision 1
    Then revision 2 is in force on every running host
    When the frozen host is thawed
    Then revision 2 is in force on every running host

  @process @config-forward @silent-connection
  Scenario: The watches go silent while they stay open
    Given a fleet of 1 zones with 3 hosts
    When the watches of the key-value service deliver no events
    And operator ana changes revision 1
    Then revision 2 is in force on every host

  @process @config-forward @kv-outage @kill @twice
  Scenario: Hosts restart in an outage of the key-value service
    Given a fleet of 1 zones with 3 hosts where host leon-1 has a disk
    When operator ana changes revision 1
    Then revision 2 is in force on every host
    When the key-value service is down
    And host leon-2 is killed
    And host leon-2 starts again
    Then revision 2 is in force on every host
    When every host is killed and starts again
    Then revision 2 is in force on every host
    When the key-value service is up
    And operator ana changes revision 2
    Then revision 3 is in force on every host

  @process @config-forward @cut
  Scenario: A zone that cannot reach the key-value service learns from another zone
    Given a fleet of 2 zones with 2 hosts
    When zone qro is cut off from the key-value service
    And operator ana changes revision 1
    Then revision 2 is in force on every host

  @process @config-forward @late-answer
  Scenario: Old events, ill-formed documents, a deletion and a restored backup turn nothing back
    Given a fleet of 1 zones with 2 hosts
    When operator ana changes revision 1
    Then revision 2 is in force on every host
    When the event of revision 1 is replayed
    And a document of a later format is written
    Then every host reports a finding about "format"
    And revision 2 is in force on every host
    When the document is deleted
    Then every watcher reports a finding about "no document"
    And revision 2 is in force on every host
    When the store is restored to revision 1
    Then every watcher reports a finding about "revision 1"
    And revision 2 is in force on every host
    When operator ana changes revision 1
    Then revision 3 is in force on every host
