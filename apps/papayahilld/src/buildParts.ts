import { randomInt } from 'node:crypto'
import { HttpEndpointAccess } from '@papayahill/backends'
import { brand, SeededRandom } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, Random } from '@papayahill/common'
import { Instance } from '@papayahill/instance'
import { PeerLinks } from '@papayahill/peers'
import { HttpInstanceList, HttpObjectStore, HttpTableService } from '@papayahill/stores'
import type { InstanceSettings } from '@papayahill/settings'
import { HttpOrderChannel } from './HttpOrderChannel.js'

const SEED_RANGE = 2 ** 32
const RADIX = 36
/** Base 36 digits of a wall clock time in milliseconds; padding to this length makes later times compare greater as text. */
const TIME_DIGITS = 9

/** Components of an instance process, without its listeners. */
export interface Parts {
  readonly instance: Instance
  readonly peers: PeerLinks
  readonly random: Random
  /** Closes the connections to endpoints and platform services. */
  close (): Promise<void>
}

/** Creates the incarnation of this process; a later incarnation of the same instance compares greater. */
const newIncarnation = (clock: Clock, random: Random): Incarnation => {
  const time = clock.wall().toString(RADIX).padStart(TIME_DIGITS, '0')
  return brand<Incarnation>(`${time}-${random.below(SEED_RANGE).toString(RADIX)}`)
}

/** Builds an instance from its settings, with HTTP clients for endpoints and platform and with links to peers. */
export const buildParts = (cfg: InstanceSettings, clock: Clock, log: EventLog): Parts => {
  const random = new SeededRandom(randomInt(SEED_RANGE))
  const { id: self, domain, region } = cfg
  const table = new HttpTableService({ origin: cfg.table, clock, log })
  const objects = new HttpObjectStore({ origin: cfg.objects, clock, log })
  const instanceList = new HttpInstanceList({ origin: cfg.instanceList, clock, log })
  const access = new HttpEndpointAccess({ self, clock, log })
  const orderChannel = new HttpOrderChannel(clock)
  const peers = new PeerLinks({
    self,
    incarnation: newIncarnation(clock, random),
    domain,
    clock,
    random: random.fork(),
    secret: cfg.secrets.peers,
    listen: cfg.peers,
    list: instanceList,
    log
  })
  const instance = new Instance({
    self, domain, region, clock, random: random.fork(), log, table, objects, instanceList, access, orderChannel, peers
  })
  const close = async (): Promise<void> => {
    await Promise.all([access, table, objects, instanceList, orderChannel].map((part) => part.close()))
  }
  return { instance, peers, random, close }
}
