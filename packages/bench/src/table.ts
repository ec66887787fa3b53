import type { Bench } from './types.js'

/** All benches by name, loaded when asked for. */
export const BENCHES: Readonly<Record<string, () => Promise<{ readonly bench: Bench }>>> = {
  'moves-good': () => import('./benches/moves-good.js'),
  'at-most-once': () => import('./benches/at-most-once.js'),
  config: () => import('./benches/config.js'),
  gossip: () => import('./benches/gossip.js'),
}
