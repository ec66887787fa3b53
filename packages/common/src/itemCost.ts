import { bytes } from './units.js'

/**
 * Heap that an item in a queue takes beside its bytes: a Buffer, an entry of a write queue and a callback. Bounds in bytes count
 * it for each item, since the bytes of a small one are a small part of what it takes.
 */
export const ITEM_COST = bytes(512)
