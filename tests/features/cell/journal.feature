Feature: Writes of the leader take effect in order or not at all

  Scenario: A write without an answer does not undo a later one
    Guards against newer progress that is overwritten by an older write which
    the store applies late.
    Given a journal on a store in memory
    When a row is written twice and the first write takes effect late
    Then the store holds the second content

  Scenario: A lost answer is resolved by reading the row
    Guards against a journal that retries an applied write forever.
    Given a journal on a store in memory
    When the answer of a write is lost
    Then the row is stored and the journal continues

  Scenario: A write in flight does not count as stored
    Guards against acknowledging an ended run to its worker before the write of
    that end is confirmed.
    Given a journal on a store in memory
    When a write is in flight at the store
    Then waiting for the stored state ends only after that write

  Scenario: A former leader writes nothing
    Guards against two instances that both act as the leader.
    Given a journal on a store in memory
    When another instance is elected
    And a row is written
    Then the journal reports that leadership was lost
    And the store does not hold the row

  Scenario: Records survive encoding
    Guards against jobs that change between acceptance and takeover.
    Then every generated job is unchanged after encoding and decoding

  Scenario: The heartbeat is in the first transaction of a backlog
    Guards against a leader that loses its leadership while it catches up after
    an outage of the store.
    Given a journal on a store in memory
    When 400 rows and then the heartbeat are written
    Then the heartbeat is stored with the first transaction

  Scenario: A row that the store rejects holds up no other row
    Guards against a cell without a leader because one row is too long
    (fresh-f993 of quetzal-claims-large: no heartbeat, 26 elections).
    Given a journal on a store in memory
    When a row that the store rejects and the heartbeat are written
    Then the heartbeat is stored
    And a row that is written afterwards is stored

  Scenario: A transaction stays below the size that the store accepts
    Guards against a batch of long rows that the store rejects as a whole.
    Given a journal on a store in memory
    When 60 rows of 45000 bytes are written
    Then no transaction has more than 1 MB

  Scenario: Heartbeats do not keep a batch from ending
    Guards against ends of runs that are never acknowledged while the store takes
    longer for a write than the interval of the heartbeat.
    Given a journal on a store in memory
    When a heartbeat is scheduled during each write
    Then a row that is written afterwards is stored

  Scenario: A row that the store rejects does not count as stored
    Guards against acknowledging an end whose write the store refuses for good
    (review case 3).
    Given a journal on a store in memory
    When a row that the store rejects and the heartbeat are written
    Then the rejected row does not count as stored
    And the flush at the end of a leadership does not wait for it
    When the content of the rejected row shrinks
    Then the rejected row counts as stored

  Scenario: A wait for one row does not depend on another
    Guards against ends of all jobs that wait for the row of one.
    Given a journal on a store in memory
    When a row that the store rejects and the heartbeat are written
    Then a wait for a row that is written afterwards ends
