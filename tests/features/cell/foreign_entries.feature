Feature: What one entry or one worker answers ends no leadership

  Scenario Outline: An entry whose key is <odd> names no worker
    Guards against one entry of another writer that ends each leadership with an
    unexpected error, so that no task starts any more (LOST, review case 8).
    Given a cell with 1 workers and 2 instances
    When another writer registers a program under a key that is <odd>
    Then a job completes under the same leader
    And the program has received no request

    Examples:
      | odd                      |
      | no Latin-1 text          |
      | split by a line break    |
      | ended by a space         |
      | a control character      |
      | half of a surrogate pair |
      | empty                    |

  Scenario Outline: An entry whose address is <odd> names no worker
    Guards against the same error in another header, which has the address.
    Given a cell with 1 workers and 2 instances
    When another writer registers a program whose address is <odd>
    Then a job completes under the same leader
    And the program has received no request

    Examples:
      | odd                       |
      | in digits of another size |
      | a name                    |

  Scenario: A page that ends with an odd key is followed by the next one
    Guards against a leader that cannot ask for the next page of the workers, as
    the last key of the one before cannot stand in a query (LOST).
    Given a cell with 1 workers and 2 instances
    When another writer adds 300 entries with half of a surrogate pair
    And another instance becomes the leader
    Then a job completes
