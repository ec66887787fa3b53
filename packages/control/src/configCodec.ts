import { isJsonObject } from '@papayahill/common'
import type { DomainId, Json } from '@papayahill/common'
import type { MoveSettings, OperatorConfig } from '@papayahill/settings'

type Items = readonly { readonly id: string }[]

const byId = <Item extends { readonly id: string }>(items: Json | undefined): ReadonlyMap<Item['id'], Item> =>
  new Map((items as unknown as readonly Item[] ?? []).map((item) => [item.id, item]))

const plain = (value: unknown): Json => JSON.parse(JSON.stringify(value)) as Json

const items = (map: ReadonlyMap<string, Items[number]>): Json => plain([...map.values()])

/** The configuration as JSON, with each map as a list of its items. */
export const encodeOperatorConfig = (config: OperatorConfig): Json => ({
  services: items(config.services),
  pipelines: items(config.pipelines),
  classes: items(config.classes),
  workspaces: items(config.workspaces),
  domains: items(config.domains),
  budgets: plain(config.budgets),
  domainsOut: [...config.domainsOut],
  moves: plain([...config.moves.values()])
})

/** Reads what {@link encodeOperatorConfig} wrote. */
export const decodeOperatorConfig = (value: Json): OperatorConfig => {
  const json = isJsonObject(value) ? value : {}
  const moves = (json['moves'] ?? []) as unknown as readonly MoveSettings[]
  return {
    services: byId(json['services']),
    pipelines: byId(json['pipelines']),
    classes: byId(json['classes']),
    workspaces: byId(json['workspaces']),
    domains: byId(json['domains']),
    budgets: (json['budgets'] ?? []) as unknown as OperatorConfig['budgets'],
    domainsOut: new Set((json['domainsOut'] ?? []) as unknown as readonly DomainId[]),
    moves: new Map(moves.map((move) => [move.service, move]))
  }
}
