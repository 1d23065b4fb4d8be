Feature: A configuration is checked before it is written to the store

  Scenario: A configuration without faults has no findings
    Guards against findings that an operator learns to ignore.
    Given a configuration without faults
    Then nothing is found

  Scenario Outline: Each fault of a queue is an error
    Guards against queues that no request or no task can use.
    Given a configuration without faults
    And a queue "extra" with <field> <value>
    Then the findings are "error <code>" about "queue extra"

    Examples:
      | field              | value        | code              |
      | prefix             | "/claims"    | unreachable-queue |
      | prefix             | "jobs"       | invalid-prefix    |
      | prefix             | ""           | invalid-prefix    |
      | service            | "unknown"    | unknown-service   |
      | service            | ""           | unknown-service   |
      | attempts           | 0            | no-attempts       |

  Scenario Outline: Queues that differ in host or prefix are all reachable
    Guards against longer or shorter prefixes that are taken for the same one.
    Given a configuration without faults
    And a queue "extra" with <field> <value>
    Then nothing is found

    Examples:
      | field  | value          |
      | prefix | "/"            |
      | prefix | "/claims/late" |
      | prefix | "/cla"         |
      | host   | "other"        |

  Scenario: The root prefix hides an empty prefix
    Guards against an empty prefix that is reported as usable.
    Given a configuration without faults
    And a queue "root" with prefix "/"
    And a queue "extra" with prefix ""
    Then the findings are "error invalid-prefix, error unreachable-queue" about "queue extra"

  Scenario Outline: Only an objective without both parts is 0
    Guards against an objective that every job misses.
    Given a configuration without faults
    And its queue has a stretch of <stretch> and a target of <target> ms
    Then the findings are "<findings>" about "queue claims"

    Examples:
      | stretch | target | findings             |
      | 0       | 0      | error zero-objective |
      | 0       | 1      |                      |
      | 1       | 0      |                      |

  Scenario: Names are neither empty nor repeated
    Guards against entries that hide each other, as the decoder merges workspaces
    of the same name.
    Given a configuration without faults
    And a queue "claims" with host "other"
    And a workspace "team" with the keys "k3"
    And a workspace "" with the keys "k4"
    Then the findings are
      | finding              | subject        |
      | error duplicate-name | queue claims   |
      | error empty-name     | workspace      |
      | error duplicate-name | workspace team |

  Scenario: A key of two workspaces is found and not shown
    Guards against keys that the decoder silently gives to the last workspace, as
    well as findings that disclose them.
    Given a configuration without faults
    And a workspace "guests" with the keys "secret-1,k5"
    Then the findings are "error shared-key" about "workspaces team, guests"
    And no finding contains "secret"

  Scenario: A key that one workspace lists twice is no fault
    Guards against a count of keys instead of workspaces.
    Given a configuration without faults
    And a workspace "guests" with the keys "k5,k5"
    Then nothing is found

  Scenario: A workspace without keys is an error
    Guards against a workspace that can submit nothing.
    Given a configuration without faults
    And a workspace "guests" without keys
    Then the findings are "error no-keys" about "workspace guests"

  Scenario Outline: A limit that is smaller than ordinary tasks is a warning
    Guards against limits in cores instead of millicores, and against 0, which
    means no limit, being taken for a small one.
    Given a configuration without faults
    And its workspace is limited to <cpu> millicores and <memory> MiB
    Then the findings are "<findings>" about "workspace team"

    Examples:
      | cpu  | memory | findings                                 |
      | 0    | 0      |                                          |
      | 1000 | 128    |                                          |
      | 999  | 0      | warning small-limit                      |
      | 8    | 127    | warning small-limit, warning small-limit |

  Scenario Outline: The header timeout is not longer than the idle timeout
    Guards against a comparison of a configured value with a missing one, for
    which the default applies.
    Given a configuration without faults
    And its header timeout is <header> ms and its idle timeout <idle> ms
    Then the findings are "<findings>" about "limits"

    Examples:
      | header | idle  | findings                     |
      | 0      | 0     |                              |
      | 5000   | 5000  |                              |
      | 5001   | 5000  | error contradicting-timeouts |
      | 15001  | 0     | error contradicting-timeouts |
      | 0      | 2999  | error contradicting-timeouts |

  Scenario Outline: The version is higher than the one in force
    Guards against a version that instances ignore.
    Given a configuration without faults
    And version <version> of the same content is in force
    Then the findings are "<findings>" about "configuration"

    Examples:
      | version | findings                 |
      | 6       |                          |
      | 7       | error version-not-higher |
      | 8       | error version-not-higher |

  Scenario: Differences from the version in force are listed
    Guards against changes that the operator did not intend and does not see.
    Given a configuration without faults
    And version 6 of the same content is in force
    And a queue "extra" with host "other"
    And its queue has a stretch of 3 and a target of 500 ms
    And its workspace is limited to 4000 millicores and 0 MiB
    And its header timeout is 2000 ms and its idle timeout 0 ms
    And its workspace has the keys "secret-1,secret-3,secret-4"
    And a workspace "guests" with the keys "k5"
    Then the findings are
      | finding                | subject          |
      | info queue-changed     | queue claims     |
      | info queue-added       | queue extra      |
      | info workspace-added   | workspace guests |
      | info workspace-changed | workspace team   |
      | info keys-added        | workspace guests |
      | info keys-added        | workspace team   |
      | info keys-removed      | workspace team   |
      | info limits-changed    | limits           |
    And no finding contains "secret"
    And a finding says "stretch: 2.0 -> 3"
    And a finding says "limit.millicores: 0 -> 4000"
    And a finding says "2 keys added"

  Scenario: Removed queues and workspaces are listed
    Guards against a file from which an entry was lost.
    Given a configuration without faults
    And a queue "extra" with host "other"
    And a workspace "guests" with the keys "k5"
    And version 6 of the same content is in force
    And the last queue and the last workspace are removed
    Then the findings are
      | finding                | subject          |
      | info queue-removed     | queue extra      |
      | info workspace-removed | workspace guests |
      | info keys-removed      | workspace guests |

  Scenario Outline: A document that cannot be decoded is rejected
    Guards against a failure of the check itself on malformed documents.
    Given a configuration without faults
    And its field "<field>" becomes <value>
    Then it cannot be decoded

    Examples:
      | field    | value                             |
      | version  | "7"                               |
      | routes   | [1]                               |
      | limits   | [1]                               |
      | services | ["claims"]                        |
      | tenants  | [{"name": "team", "cap": 5}]      |
      | routes   | [{"name": "claims", "advice": 1}] |

  Scenario: Services are checked only if they are listed
    Guards against errors for every queue of a document without the list.
    Given a configuration without faults
    And a queue "extra" with service "unknown"
    And its field "services" is removed
    Then nothing is found
