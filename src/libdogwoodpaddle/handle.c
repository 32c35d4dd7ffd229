#include "protected/handle.h"

#include <string.h>

#define INDEX_BITS 20
#define INDEX_MASK ((1u << INDEX_BITS) - 1)
#define GENERATION_MAX 0xfffu
#define INITIAL_CAPACITY 16

typedef struct
{
  guint32 generation; /* 1 to GENERATION_MAX */
  guint32 next_free;  /* index + 1 of the next free row; 0 if none */
  gboolean used;
} Row;

struct _DpHandleTable
{
  gsize row_size;
  guint max_rows;
  guint capacity;
  guint n_rows; /* rows that have ever been used */
  guint count;
  guint32 first_free; /* index + 1; 0 if none */
  Row *rows;
  guint8 *data;
};

static Row *find_ (DpHandleTable *table, DpHandle handle);
static void grow_ (DpHandleTable *table);

/* Creates a table of at most max_rows rows of row_size bytes. */
DpHandleTable *
dp_handle_table_new (gsize row_size, guint max_rows)
{
  DpHandleTable *table = g_new0 (DpHandleTable, 1);

  g_assert (row_size > 0 && max_rows > 0 && max_rows <= DP_HANDLE_MAX_ROWS);
  table->row_size = row_size;
  table->max_rows = max_rows;
  return table;
}

/* Frees the table and its rows. */
void
dp_handle_table_free (DpHandleTable *table)
{
  if (table == NULL)
    return;
  g_free (table->rows);
  g_free (table->data);
  g_free (table);
}

/* Adds a zeroed row and returns its handle, or DP_HANDLE_NONE if the table is full.
 * Invalidates all row pointers. */
DpHandle
dp_handle_table_add (DpHandleTable *table)
{
  guint32 index;
  Row *row;

  if (table->first_free != 0)
    {
      index = table->first_free - 1;
      table->first_free = table->rows[index].next_free;
    }
  else
    {
      if (table->n_rows == table->max_rows)
        return DP_HANDLE_NONE;
      if (table->n_rows == table->capacity)
        grow_ (table);
      index = table->n_rows++;
      table->rows[index].generation = 1;
    }
  row = &table->rows[index];
  row->used = TRUE;
  table->count++;
  memset (table->data + index * table->row_size, 0, table->row_size);
  return row->generation << INDEX_BITS | index;
}

/* Returns the row, or NULL if the handle is stale. The pointer is valid until the next
 * add. */
gpointer
dp_handle_table_get (DpHandleTable *table, DpHandle handle)
{
  if (find_ (table, handle) == NULL)
    return NULL;
  return table->data + (handle & INDEX_MASK) * table->row_size;
}

/* Frees the row, which makes its handle stale. Ignores a handle that is already stale. */
void
dp_handle_table_remove (DpHandleTable *table, DpHandle handle)
{
  Row *row = find_ (table, handle);

  if (row == NULL)
    return;
  row->used = FALSE;
  row->generation = row->generation == GENERATION_MAX ? 1 : row->generation + 1;
  row->next_free = table->first_free;
  table->first_free = (handle & INDEX_MASK) + 1;
  table->count--;
}

/* Returns the number of rows in use. */
guint
dp_handle_table_count (const DpHandleTable *table)
{
  return table->count;
}

/* Iterates over the rows in use: returns the handle of the row that follows after, or of
 * the first row if after is DP_HANDLE_NONE. Returns DP_HANDLE_NONE at the end. The row of
 * after may have been removed. */
DpHandle
dp_handle_table_next (DpHandleTable *table, DpHandle after)
{
  guint index = after == DP_HANDLE_NONE ? 0 : (after & INDEX_MASK) + 1;

  for (; index < table->n_rows; index++)
    {
      if (table->rows[index].used)
        return table->rows[index].generation << INDEX_BITS | index;
    }
  return DP_HANDLE_NONE;
}

static Row *
find_ (DpHandleTable *table, DpHandle handle)
{
  guint32 index = handle & INDEX_MASK;
  Row *row;

  if (index >= table->n_rows)
    return NULL;
  row = &table->rows[index];
  if (!row->used || row->generation != handle >> INDEX_BITS)
    return NULL;
  return row;
}

static void
grow_ (DpHandleTable *table)
{
  guint old = table->capacity;

  table->capacity = MIN (MAX (old * 2, INITIAL_CAPACITY), table->max_rows);
  table->rows = g_renew (Row, table->rows, table->capacity);
  memset (table->rows + old, 0, (table->capacity - old) * sizeof (Row));
  table->data = g_realloc_n (table->data, table->capacity, table->row_size);
}
