Feature: Parts of a running entry instance

  Scenario: Usage counts what runs on the workers of peers
    Guards against serving a team first whose tasks run elsewhere in the zone.
    Given an instance that runs 1 task of "claims" and a peer that runs 3 of "desk"
    When the usage reporter reports
    Then the reported usage of "claims" is 0.25 and of "desk" 0.75

  Scenario: A stopping peer is proposed as owner of no worker
    Guards against workers that go to an instance which is about to stop.
    Given an instance with a live peer and 40 listed workers
    When the ownership is reviewed before and while the peer is draining
    Then the instance owns some workers at first and all 40 afterwards
