import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerLinks } from "./peer_links.ts";

const PEER_URL = "http://127.0.0.1:9";

test("A link keeps one connection until it is reconnected or replaced", (t) => {
  const links = PeerLinks.create({ peerSecret: "secret-of-the-peers" });
  t.after(() => links.close());
  links.replaceAll([{ name: "a", incarnation: "a1", peerUrl: PEER_URL }]);
  assert.equal(links.connectionTo("a", "a2"), undefined);
  const first = links.connectionTo("a", "a1");
  assert.notEqual(first, undefined);
  assert.equal(links.connectionTo("a", "a1"), first);

  links.reconnect("a");
  const reconnected = links.connectionTo("a", "a1");
  assert.notEqual(reconnected, undefined);
  assert.notEqual(reconnected, first);

  const removed = links.replaceAll([
    { name: "a", incarnation: "a2", peerUrl: PEER_URL },
  ]);
  assert.deepEqual(removed.map(({ incarnation }) => incarnation), ["a1"]);
  assert.equal(links.connectionTo("a", "a1"), undefined);
});

test("A link that is never used opens no connection", async () => {
  const links = PeerLinks.create({ peerSecret: "secret-of-the-peers" });
  const names = Array.from({ length: 5_000 }, (_, number) => `a${number}`);
  links.replaceAll(
    names.map((name) => ({ name, incarnation: name, peerUrl: "not a URL" })),
  );
  links.reconnect("a1");
  await links.close();
  assert.equal(links.incarnationOf("a1"), "a1");
  assert.throws(() => links.connectionTo("a1", "a1"));
});
