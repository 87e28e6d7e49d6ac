"""Tests of flamingostack.gateway.readers."""

import unittest

from flamingostack.gateway.readers import MIN_DOMAIN_INSTANCES, READERS_PER_DOMAIN, choose_sources


def names(count: int) -> set[str]:
    return {f"front-a-{number}" for number in range(count)}


class ChooseSourcesTest(unittest.TestCase):
    """Guards against all instances watching the store, and against none doing so."""

    def test_large_domain_has_two_readers_that_all_others_follow(self):
        for count in (MIN_DOMAIN_INSTANCES, 25, 1000):
            domain = names(count)
            sources_by_name = {name: choose_sources(name, domain, ()) for name in domain}
            readers = {name for name, sources in sources_by_name.items() if not sources}
            self.assertEqual(len(readers), READERS_PER_DOMAIN)
            followed = {tuple(sources) for sources in sources_by_name.values() if sources}
            self.assertEqual([set(sources) for sources in followed], [readers])

    def test_small_domain_watches_the_store(self):
        domain = names(MIN_DOMAIN_INSTANCES - 1)
        self.assertEqual([choose_sources(name, domain, ()) for name in domain], [[]] * len(domain))

    def test_next_instance_takes_the_place_of_an_unreachable_reader(self):
        domain = names(25)
        follower = next(name for name in sorted(domain) if choose_sources(name, domain, ()))
        first, second = choose_sources(follower, domain, ())
        after = choose_sources(follower, domain, {first})
        # The next instance in rank order has the same view and watches the store, unless it is the
        # follower itself.
        if after:
            self.assertEqual(after[0], second)
            self.assertEqual(choose_sources(after[1], domain, {first}), [])

    def test_instance_that_reaches_nobody_watches_the_store(self):
        domain = names(25)
        for name in domain:
            self.assertEqual(choose_sources(name, domain, domain - {name}), [])

    def test_views_that_differ_leave_nobody_without_a_source(self):
        domain = names(40)
        readers = {name for name in domain if not choose_sources(name, domain, ())}
        # Instances that cannot reach one reader follow two others, or watch the store themselves.
        for name in domain - readers:
            sources = choose_sources(name, domain, {min(readers)})
            self.assertTrue(not sources or len(sources) == READERS_PER_DOMAIN)
            self.assertNotIn(name, sources)
