Feature: Writes of the elected instance take effect in order or not at all

  Scenario: A write without an answer does not undo a later one
    Guards against progress that goes back when the store is late.
    Given a journal on a store in memory
    When a document is written twice and the first write takes effect late
    Then the store holds the second form

  Scenario: A lost answer is settled by reading
    Guards against writing the same document for ever.
    Given a journal on a store in memory
    When the answer of a write is lost
    Then the document is stored and the journal goes on

  Scenario: What is being written does not count as stored yet
    Guards against telling a worker that an end is stored while its write is
    still open.
    Given a journal on a store in memory
    When a write is open at the store
    Then a wait for what is known ends only after that write

  Scenario: A former elected instance writes nothing
    Guards against two instances that both think they are elected.
    Given a journal on a store in memory
    When another instance is elected
    And a document is written
    Then the journal reports that it was deposed
    And the store holds nothing of it

  Scenario: Records survive encoding
    Guards against jobs that change between acceptance and takeover.
    Then every generated job is equal after storing and reading
