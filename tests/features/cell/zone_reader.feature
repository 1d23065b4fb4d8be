Feature: One instance of a zone reads the configuration for the others

  Scenario: A large change is read from the store once for a zone
    Guards against bytes on the link that grow with the instances.
    Given 6 instances of a zone behind a link of 6 Mbit/s
    When the operator adds 1400 queues
    Then the change is in force in each instance within 2000 ms
    And the link has carried less than 2 copies for the zone

  Scenario Outline: A reader that fails during a large change delays nobody for long
    Guards against a zone that depends on one instance.
    Given 6 instances of a zone behind a link of 10 Mbit/s
    When the operator adds 1400 queues
    And the reader <fails> in the middle of the transfer
    Then the change is in force in each other instance within 4000 ms
    And another instance is the reader

    Examples:
      | fails                                    |
      | ends                                     |
      | answers nothing                          |
      | is cut off from the store, but not the zone |

  Scenario: A storm of large changes ends with the last one in force
    Guards against changes that delay each other without end.
    Given 6 instances of a zone behind a link of 15 Mbit/s
    When the operator adds 1400 queues 30 times in 10000 ms
    Then the change is in force in each instance within 4000 ms

  Scenario Outline: The source of the configuration
    Guards against instances that ask one that does not help them.
    Given a reader that is <reader>
    When an instance of the zone <role>
    Then the configuration is requested from the <source>

    Examples:
      | reader  | role    | source |
      | known   | follows | reader |
      | known   | leads   | store  |
      | unknown | follows | store  |
      | itself  | follows | store  |
      | failed  | follows | store  |

  Scenario Outline: A reader is kept while the configuration is new enough
    Guards against instances that keep a reader which is cut off from the store.
    Given a reader that is known
    When its answer leaves the configuration <age> s old
    Then the reader is <outcome>

    Examples:
      | age | outcome |
      | 0.1 | kept    |
      | 2.4 | kept    |
      | 2.5 | dropped |
      | inf | dropped |

  Scenario: A reader that failed is not used again at once
    Guards against returning to a reader that just failed.
    Given a reader that is failed
    Then it may be used again after 10 s, not before

  Scenario Outline: A malformed answer of a reader changes nothing
    Guards against a process that ends, or a configuration that is cut short.
    When a reader answers with <content>
    Then the answer is rejected

    Examples:
      | content                   |
      | no JSON                   |
      | a list                    |
      | a missing version         |
      | a version that is a text  |
      | an infinite time          |
      | evacuations of one field  |
      | content that is no Base64 |
      | content cut short         |
      | content of 20 MB          |
